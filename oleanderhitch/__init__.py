"""Schedule agent programs between callers and endpoints."""
