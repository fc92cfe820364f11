"""Stand in for the platform's endpoints in demo and tests."""
