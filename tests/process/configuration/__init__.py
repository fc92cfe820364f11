"""Test the agreement on declarations."""
