"""State, decisions and tasks that live for one request."""
