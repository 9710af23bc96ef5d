"""Randomised soak of the gateway's real processes."""
