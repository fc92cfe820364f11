"""Commands that start the processes with the platform's settings."""
