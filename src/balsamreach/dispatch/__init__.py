"""Processing of one request: admission, claim, routing, sending, billing."""
