"""Run replicated groups and call them from other processes."""
