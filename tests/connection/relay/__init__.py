"""Tests of tunnels through another entry host."""
