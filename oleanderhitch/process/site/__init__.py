"""The processes of a site: entry hosts forward requests, stores replicate state."""
