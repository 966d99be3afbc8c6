"""Identity, durable claim and current answer of requests."""
