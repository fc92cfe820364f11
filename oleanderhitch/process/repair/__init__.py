"""Keep a replicated group at its target number of voters as stores join and fail."""
