"""Test the processes of a site."""
