"""Hold what lives as long as a stand-in process."""
