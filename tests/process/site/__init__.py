"""Tests of the processes of a site."""
