"""Tests of the decision code of a pool's queue."""
