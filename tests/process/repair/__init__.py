"""Test the repair of replicated groups."""
