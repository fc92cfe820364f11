"""Hold what lives for one request at a stand-in."""
