"""Tests that run the built executable file, not the checkout."""
