"""Test the record of programs."""
