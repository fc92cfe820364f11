"""Tests of the directory of endpoints."""
