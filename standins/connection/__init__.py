"""HTTP interfaces of the stand-ins."""
