"""HTTP client for endpoints: model engines and plain services."""
