"""Queue requests for the endpoints of a pool."""
