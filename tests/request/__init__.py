"""Test requests."""
