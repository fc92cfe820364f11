"""Keep the turns of programs as a tree, and what the programs may spend."""
