"""Test placement."""
