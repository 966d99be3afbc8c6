"""The router daemon: its parts put together, started and stopped."""
