"""The way of one request: admit, claim, choose, send, answer, bill."""
