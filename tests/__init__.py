"""Tests, as a rule one module per source module, and their helpers."""
