"""HTTP interface for callers: chat completions, services, programs and status."""
