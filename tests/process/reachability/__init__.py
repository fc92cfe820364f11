"""Tests of the ways by which an entry host reaches endpoints."""
