"""Benchmarks and the figures that the documentation quotes."""
