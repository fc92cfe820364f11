"""Test node leases, configuration versions and pool owners."""
