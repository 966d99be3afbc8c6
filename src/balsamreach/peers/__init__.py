"""Membership of the fleet's routers and messaging between them."""
