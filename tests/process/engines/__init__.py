"""Tests of polling, releases and orders of engines."""
