"""The protocol between routers: typed messages and their encoding."""
