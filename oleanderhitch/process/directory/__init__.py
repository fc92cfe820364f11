"""Track the endpoints in the platform's list, which lags and may be corrupt."""
