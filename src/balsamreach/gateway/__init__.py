"""HTTP towards callers, operators and targets."""
