"""Place each request on the endpoint that serves it soonest."""
