"""Test peer streams."""
