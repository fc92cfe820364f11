"""Test the translation of the platform."""
