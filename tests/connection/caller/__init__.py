"""Tests of the callers' HTTP interface."""
