"""Start the processes that run on the platform."""
