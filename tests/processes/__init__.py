"""Test the system as separate processes; scripts/process_tests.sh starts them."""
