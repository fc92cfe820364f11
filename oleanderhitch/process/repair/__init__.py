"""Keep a replicated group at its number of voters while stores come and go."""
