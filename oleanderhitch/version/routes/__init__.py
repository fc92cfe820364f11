"""Hold one accepted routing configuration: routes, services and limits."""
