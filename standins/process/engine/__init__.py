"""Run a model engine's batch, cache and orders."""
