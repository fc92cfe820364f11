"""Test the package of accepted configurations."""
