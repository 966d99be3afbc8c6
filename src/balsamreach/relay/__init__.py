"""The way of a request that is passed through by a route."""
