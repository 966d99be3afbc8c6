"""The command line: one small module per command."""
