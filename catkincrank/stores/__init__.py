"""Package of stores."""
