"""The operators' table: a row for each team and each target."""
