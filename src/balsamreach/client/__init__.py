"""Client of the operators' interface, used by the command line."""
