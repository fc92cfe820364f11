"""Tests of what lives as long as a process."""
