"""Entry points of the stand-in binaries, one per file."""
