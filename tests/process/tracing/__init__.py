"""Test tracing."""
