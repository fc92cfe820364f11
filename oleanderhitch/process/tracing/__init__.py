"""Record the hops of requests as traces."""
