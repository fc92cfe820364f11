"""Tests of the adapters to the platform."""
