"""Counters, gauges and latencies of a process."""
