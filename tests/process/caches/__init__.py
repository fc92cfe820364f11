"""Test the reads of prefix caches."""
