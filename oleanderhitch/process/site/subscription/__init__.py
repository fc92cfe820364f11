"""An entry host's subscription to the stores: routing, endpoints and peer loads."""
