"""Forward one request of a caller to an endpoint of its route's service."""
