"""Benchmark scenarios; each module has a coroutine ``run``."""
