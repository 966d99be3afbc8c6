"""What operators have configured: routes, services, teams and limits."""
