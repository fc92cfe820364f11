"""Test oleanderhitch."""
