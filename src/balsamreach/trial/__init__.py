"""Trial fleet of routers and simulated targets in one process."""
