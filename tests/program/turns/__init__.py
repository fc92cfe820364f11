"""Tests of replicated turns and budgets."""
