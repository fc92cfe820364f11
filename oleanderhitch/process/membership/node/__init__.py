"""Keep the lease and the version of one node."""
