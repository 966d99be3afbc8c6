"""Simulated platform services and targets for tests and trials."""
