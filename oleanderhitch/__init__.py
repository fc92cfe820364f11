"""Scheduler of agent programs between callers and endpoints."""
