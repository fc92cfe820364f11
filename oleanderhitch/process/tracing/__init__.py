"""Tracing of requests across processes."""
