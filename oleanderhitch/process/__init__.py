"""State and tasks whose life span is that of the process."""
