"""Endpoint drivers; importing this package registers them."""

from catkincrank.endpoints import postgres

__all__ = ('postgres',)
