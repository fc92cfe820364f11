"""Route requests to the owner of their pool, on this host or another one."""
