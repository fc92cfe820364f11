"""Forwarding of a caller's request to an endpoint of its route's service."""
