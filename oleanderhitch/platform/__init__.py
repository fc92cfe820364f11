"""Adapters between oleanderhitch and the platform that it runs on.

No other package knows the platform's HTTP headers, paths and JSON documents.
"""
