"""Test the leadership of a store."""
