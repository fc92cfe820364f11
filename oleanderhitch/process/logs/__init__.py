"""Structured logging that never blocks on a slow reader of the output."""
