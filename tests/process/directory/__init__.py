"""Test the directory of endpoints."""
