"""Test the pool router."""
