"""Replicate the log of a group with the Raft consensus algorithm."""
