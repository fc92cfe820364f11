"""Hold what lives as long as a measurement."""
