"""Test HTTP connections."""
