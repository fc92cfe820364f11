"""Tests of the client of groups and the placement of replicas."""
