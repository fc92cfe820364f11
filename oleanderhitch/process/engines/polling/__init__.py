"""Poll the load and the cache of engines."""
