"""Tests of a store's leadership of the configuration group."""
