"""Test that the pages agree with the code."""
