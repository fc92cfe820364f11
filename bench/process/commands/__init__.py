"""Run measurements."""
