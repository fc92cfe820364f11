"""Test connections to endpoints."""
