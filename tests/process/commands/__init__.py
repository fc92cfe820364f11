"""Test the binaries."""
