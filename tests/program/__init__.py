"""Tests of program shards."""
