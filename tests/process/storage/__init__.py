"""Test durable storage."""
