"""Assemble the processes that forward requests and keep a site's state."""
