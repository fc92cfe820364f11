"""Simulate an inference engine: its batch, prefix cache and orders."""
