"""Tests of oleanderhitch."""
