"""Tests of peer streams."""
