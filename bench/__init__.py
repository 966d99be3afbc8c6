"""Benchmarks of the router, as processes or in virtual time."""
