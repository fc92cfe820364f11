"""Know which endpoints exist, from a list that lags and may be damaged."""
