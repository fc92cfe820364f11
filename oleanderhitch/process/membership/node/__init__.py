"""Hold the lease and the installed configuration version of one node."""
