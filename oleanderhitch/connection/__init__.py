"""Code and state whose life span is one connection."""
