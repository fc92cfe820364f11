"""Tests of the measurement's own parts."""
