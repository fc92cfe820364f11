"""Simulate a plain service and the operations that it runs."""
