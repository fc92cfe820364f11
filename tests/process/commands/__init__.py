"""Test the command-line programs."""
