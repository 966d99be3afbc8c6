"""Router daemon: construction of its components, startup and shutdown."""
