"""Poll inference engines, release their prefix caches and send them orders."""
