"""State, tasks and commands that live as long as a stand-in process."""
