"""Run a plain service's operations."""
