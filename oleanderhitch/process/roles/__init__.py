"""Assemble the tasks and servers of entry hosts and disk hosts."""
