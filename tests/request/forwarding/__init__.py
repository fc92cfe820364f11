"""Tests of forwarded requests."""
