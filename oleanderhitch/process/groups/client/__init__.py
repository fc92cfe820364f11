"""Call replicated groups from any process."""
