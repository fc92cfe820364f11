"""Tests of the evidence of crashes."""
