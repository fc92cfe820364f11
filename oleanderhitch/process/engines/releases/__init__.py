"""Release the prefixes of ended programs that engines still cache."""
