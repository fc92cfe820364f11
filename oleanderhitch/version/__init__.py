"""Hold what lives for one accepted configuration."""
