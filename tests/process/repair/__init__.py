"""Tests of the repair of replicated groups."""
