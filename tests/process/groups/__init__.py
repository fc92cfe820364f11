"""Test groups, their client and placement."""
