"""The platform's services as abstract bases, and HTTP clients for them."""
