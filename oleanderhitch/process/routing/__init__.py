"""Route requests to the owner of their pool, here or at another host."""
