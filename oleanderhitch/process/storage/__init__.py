"""Keep the logs, hard states and snapshots of all groups of a process on disk."""
