"""Tests that start the built file, not the checkout."""
