"""Drivers for the platform's service; importing registers them."""

from catkincrank.stores import http, memory

__all__ = ('http', 'memory')
