"""Switches hosts of targets on and off by demand, without cutting requests."""
