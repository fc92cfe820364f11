"""Tests of durable storage."""
