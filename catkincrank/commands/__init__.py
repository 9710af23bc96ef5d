"""Operator commands, one module per command or command group."""
