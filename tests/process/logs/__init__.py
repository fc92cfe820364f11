"""Test structured logs."""
