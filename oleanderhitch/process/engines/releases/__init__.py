"""Release the memory that engines hold for ended programs."""
