"""Drivers for the platform's service; importing fills their registry."""

from catkincrank.stores import http, memory

__all__ = ('http', 'memory')
