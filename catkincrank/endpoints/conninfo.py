"""Encodes an instance's promise and source in ``primary_conninfo``.

The setting survives a restart of the instance, can be changed by SQL on a
primary and on a replica, and its application name is free text. The driver
stores there the ballot that the instance has promised and the endpoint that it
follows.
"""

import re
from dataclasses import dataclass
from typing import final

from catkincrank.endpoint import EndpointAddress
from catkincrank.history import History, TermStart
from catkincrank.instance import Ballot

__all__ = (
    'Upstream',
    'format_upstream',
    'parse_history',
    'parse_lsn',
    'parse_upstream',
    'quote_literal',
)

# Stands for no primary: a sealed instance must not stream from any other.
_UNREACHABLE_PRIMARY = EndpointAddress('', '0.0.0.0', 1)
_FIELD = re.compile(r"(\w+)='([^']*)'")
_NAME_PREFIX = 'catkincrank/'
_LSN_HIGH_BITS = 32
_HEX_BASE = 16


@final
@dataclass(frozen=True, slots=True)
class Upstream:
    """A replica's source and the ballot under which it was set.

    Attributes:
        primary: Where the instance streams from; ``None`` when sealed.
        ballot: Ballot that the instance has promised.
    """

    primary: EndpointAddress | None
    ballot: Ballot


def format_upstream(upstream: Upstream) -> str:
    """Return the ``primary_conninfo`` text for ``upstream``."""
    primary = upstream.primary or _UNREACHABLE_PRIMARY
    name = '{0}{1}/{2}/{3}'.format(
        _NAME_PREFIX,
        upstream.ballot.term,
        upstream.ballot.keeper,
        primary.endpoint,
    )
    return "host='{0}' port='{1}' application_name='{2}'".format(
        primary.host,
        primary.port,
        name,
    )


def parse_upstream(text: str | None) -> Upstream | None:
    """Return the upstream in ``text``; ``None`` if not set by this driver."""
    fields = dict(_FIELD.findall(text or ''))
    name = fields.get('application_name', '')
    if not name.startswith(_NAME_PREFIX):
        return None
    term, keeper, endpoint = name.removeprefix(_NAME_PREFIX).split('/')
    primary = None
    if endpoint:
        port = int(fields['port'])
        primary = EndpointAddress(endpoint, fields['host'], port)
    return Upstream(primary, Ballot(int(term), keeper))


def parse_lsn(text: str) -> int:
    """Return the integer for a log position written like ``'16/B374D848'``."""
    high, low = text.split('/')
    shifted = int(high, _HEX_BASE) << _LSN_HIGH_BITS
    return shifted + int(low, _HEX_BASE)


def parse_history(text: str | None, timeline: int) -> History:
    """Return the lineage that a timeline history file describes.

    Args:
        text: Content of the file; each line holds a timeline and the position
            at which the next one began.
        timeline: The timeline that the file belongs to.
    """
    lines = [line.split() for line in (text or '').splitlines()]
    ends = [(int(line[0]), parse_lsn(line[1])) for line in lines if line]
    terms = [*(term for term, _ in ends), timeline]
    positions = [0, *(position for _, position in ends)]
    pairs = zip(terms, positions, strict=True)
    return History(tuple(TermStart(*pair) for pair in pairs))


def quote_literal(text: str) -> str:
    """Return ``text`` as an SQL string literal."""
    return "'{0}'".format(text.replace("'", "''"))
