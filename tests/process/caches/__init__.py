"""Tests of the reads of prefix caches."""
