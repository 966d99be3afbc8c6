"""Logs, metrics and traces of one process."""
