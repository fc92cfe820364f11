"""Measure what a process uses and how late its event loop runs."""
