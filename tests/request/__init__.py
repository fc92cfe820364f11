"""Tests of what lives for one request."""
