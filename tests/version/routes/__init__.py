"""Tests of routing configurations."""
