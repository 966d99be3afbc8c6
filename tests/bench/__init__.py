"""Slow tests of the benchmark scenarios, run separately."""
