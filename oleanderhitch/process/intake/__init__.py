"""Admit calls and keep track of the requests in progress."""
