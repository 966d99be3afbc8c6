"""Tests, one module per module of the product."""
