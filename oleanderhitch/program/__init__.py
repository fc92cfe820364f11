"""Replicated records of agent programs: calls, budgets, history and releases."""
