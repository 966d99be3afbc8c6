"""All that only translates between balsamreach and the users' platform."""
