"""Store the logs, hard states and snapshots of a process's groups on disk."""
