"""Test the directory."""
