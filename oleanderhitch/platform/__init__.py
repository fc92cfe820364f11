"""Adapters between oleanderhitch and the platform that it runs on.

No other package depends on the platform's HTTP headers, paths and JSON documents.
"""
