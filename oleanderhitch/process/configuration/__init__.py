"""Agree on declarations between offices."""
