"""Tests of the documentation against the code."""
