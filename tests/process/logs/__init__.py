"""Tests of structured logging."""
