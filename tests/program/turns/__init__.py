"""Test turns and budgets."""
