"""Stream requests to endpoints over HTTP."""
