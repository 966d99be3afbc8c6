"""The state of each target at a router: load, requests, health, leaving."""
