"""Give engines orders to load models."""
