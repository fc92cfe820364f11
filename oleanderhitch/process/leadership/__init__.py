"""Track until when this store is certain to lead the configuration group."""
