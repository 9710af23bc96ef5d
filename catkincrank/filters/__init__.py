"""Package of filters."""
