"""Which target runs a request, how many run at once, and what is retried."""
