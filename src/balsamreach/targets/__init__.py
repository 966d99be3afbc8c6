"""What a router knows of each target: load, requests in progress, leaving."""
