"""Package of acknowledgements."""
