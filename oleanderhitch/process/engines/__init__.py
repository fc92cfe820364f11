"""Poll engines, release their memory and give them orders."""
