"""State whose life span is one accepted configuration version."""
