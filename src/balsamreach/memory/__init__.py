"""Bounds of the memory that clients make a process hold."""
