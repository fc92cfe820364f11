"""Evidence of requests that crash the endpoints that run them."""
