"""Poll the load and the prefix cache of engines."""
