"""Benchmarks and the figures that the pages quote."""
