"""Tests of configuration documents and their compiled form."""
