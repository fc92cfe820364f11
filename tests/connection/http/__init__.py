"""Tests of HTTP connections."""
