"""Tests of the intake."""
