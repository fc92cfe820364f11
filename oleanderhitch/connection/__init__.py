"""Hold what lives for one connection."""
