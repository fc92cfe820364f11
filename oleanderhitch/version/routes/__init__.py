"""State of one accepted routing configuration: routes, services and limits."""
