"""Hold what lives for one request."""
