"""Runs the router as plain processes and measures what its users measure."""
