"""Test the callers' HTTP interface."""
