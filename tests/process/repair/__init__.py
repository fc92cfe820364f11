"""Test repair."""
