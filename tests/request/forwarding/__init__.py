"""Test forwarded requests."""
