"""Reading and validation of INI settings files."""
