"""Test polling, releases and orders of engines."""
