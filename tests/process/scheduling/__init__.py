"""Tests of the decisions of a pool's queue."""
