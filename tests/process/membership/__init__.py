"""Tests of node leases, configuration versions and pool owners."""
