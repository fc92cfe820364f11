"""Test node leases and the versions that nodes acknowledge."""
