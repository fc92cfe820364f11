"""Serve the HTTP interfaces of the stand-ins."""
