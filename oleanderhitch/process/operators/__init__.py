"""Clients of a deployment for the operators' command line."""
