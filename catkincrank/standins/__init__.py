"""Package of standins."""
