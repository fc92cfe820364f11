"""Tests of the replicated configuration."""
