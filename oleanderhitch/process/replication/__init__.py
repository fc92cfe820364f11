"""Decide and run the replicated log of one group."""
