"""Simulated servers, policies and measures that live as long as a benchmark."""
