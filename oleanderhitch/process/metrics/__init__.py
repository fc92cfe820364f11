"""Count and time what a process does."""
