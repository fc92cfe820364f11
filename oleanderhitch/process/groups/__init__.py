"""Run the replicas of groups and call groups from other processes."""
