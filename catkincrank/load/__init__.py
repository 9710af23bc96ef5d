"""Package of load."""
