"""Test routing configurations."""
