"""Adapters between the router and the users' platform."""
