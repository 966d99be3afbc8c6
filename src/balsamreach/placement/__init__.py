"""Which target a request goes to, decided apart from sockets and clocks."""
