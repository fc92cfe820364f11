"""Follow the site's stores: routing, endpoints and the stores themselves."""
