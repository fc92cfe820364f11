"""Commands that run the benchmarks."""
