"""Tests of the pool router."""
