"""Hold what lives for one call of a measured program."""
