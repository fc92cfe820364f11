"""Workload and execution of one simulated program."""
