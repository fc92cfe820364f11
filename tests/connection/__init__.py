"""Test connections."""
