"""Measure the shipped decisions against baselines of our own."""
