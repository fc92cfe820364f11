"""Test the intake."""
