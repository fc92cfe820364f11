"""Provide the stand-in binaries, one command a file."""
