"""Load generator, trial runs and their reports."""
