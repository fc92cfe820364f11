"""Quotas of client accounts on an entry host."""
