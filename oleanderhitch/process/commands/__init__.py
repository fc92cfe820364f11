"""Provide the binaries, one command a file."""
