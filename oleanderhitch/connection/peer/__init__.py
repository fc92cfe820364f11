"""Authenticated message streams between the processes of the system."""
