"""Test engines."""
