"""Tests of the command-line programs."""
