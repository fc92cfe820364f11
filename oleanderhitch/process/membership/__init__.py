"""Lease nodes, push versions to them and name the owners of pools."""
