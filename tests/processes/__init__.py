"""Tests of a deployment of separate processes; scripts/process_tests.sh starts it."""
