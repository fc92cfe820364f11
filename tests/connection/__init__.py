"""Tests of connections."""
