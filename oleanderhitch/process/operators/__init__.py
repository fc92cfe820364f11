"""Reach a deployment from the operators' command line."""
