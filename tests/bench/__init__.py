"""Tests of the bench, run apart since they take a while."""
