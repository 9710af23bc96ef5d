"""Drivers for endpoints; importing the package fills their registry."""

from catkincrank.endpoints import postgres

__all__ = ('postgres',)
