"""Tests of the measurement of what a process uses."""
