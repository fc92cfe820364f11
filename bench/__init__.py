"""Benchmarks: the scheduler against baseline policies, and its processes."""
