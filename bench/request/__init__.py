"""Calls of a simulated program and their attempts."""
