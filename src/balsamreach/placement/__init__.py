"""Chooses the target of a request, independent of sockets and clocks."""
