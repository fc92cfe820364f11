"""Hold what lives for one agent program."""
