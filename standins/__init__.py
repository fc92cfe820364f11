"""Simulated endpoints of the platform for the demo and the tests."""
