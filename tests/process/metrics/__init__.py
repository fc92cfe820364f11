"""Test metrics."""
