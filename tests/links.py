"""Pairs of connected links over memory streams, for virtual time."""

import anyio
from anyio.streams.stapled import StapledObjectStream

from catkincrank.links import Link


def make_pair(capacity=1000, **options) -> tuple[Link, Link]:
    """Return two connected links."""
    first, second = make_streams(capacity)
    return Link(first, 'first', **options), Link(second, 'second')


def make_streams(capacity: int = 1000):
    """Return two connected byte streams."""
    to_second, from_first = anyio.create_memory_object_stream(capacity)
    to_first, from_second = anyio.create_memory_object_stream(capacity)
    return (
        StapledObjectStream(to_second, from_second),
        StapledObjectStream(to_first, from_first),
    )
