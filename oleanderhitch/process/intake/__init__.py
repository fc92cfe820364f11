"""Admit calls on an entry host and track the requests in progress."""
