"""Hold what lives for one measured program."""
