"""What routers tell each other, and who they are."""
