"""Select the endpoint with the lowest estimated cost for each request."""
