"""Queue the requests of a pool and grant them its endpoints' slots."""
