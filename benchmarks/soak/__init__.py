"""Randomised soak test of gateway processes."""
