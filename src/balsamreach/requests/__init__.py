"""A request's identity, its durable claim, and its answer in progress."""
