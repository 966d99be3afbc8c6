"""A small fleet with stand-ins in one process, to try balsamreach out."""
