"""The scenarios, one module each with a coroutine ``run``."""
