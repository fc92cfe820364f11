"""Tests of the placement task."""
