"""Assemble the parts of each kind of process."""
