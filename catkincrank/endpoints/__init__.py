"""Package of endpoints."""
