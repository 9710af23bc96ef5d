"""Reads the answer to the status statement, a JSON array."""

import msgspec

from catkincrank.endpoint import Answer
from catkincrank.endpoints.conninfo import (
    Upstream,
    parse_history,
    parse_upstream,
)
from catkincrank.instance import InstanceStatus, Role

__all__ = ('has_receiver', 'read_status')

_Fields = tuple[
    bool,
    int | None,
    int | None,
    int | None,
    str | None,
    str | None,
    str | None,
    int,
    int,
]
_DETAILS = 4


def read_status(endpoint: str, answer: Answer) -> InstanceStatus:
    """Return the status that ``endpoint`` answered."""
    fields = _read_fields(answer)
    is_replica, timeline, *positions = fields[:_DETAILS]
    incarnation, conninfo, history, connections, _ = fields[_DETAILS:]
    upstream = parse_upstream(conninfo)
    return InstanceStatus(
        endpoint,
        incarnation or '',
        Role.REPLICA if is_replica else Role.PRIMARY,
        parse_history(history, timeline or 1),
        *(position or 0 for position in positions),
        _name_followed(upstream) if is_replica else '',
        upstream.ballot if upstream else None,
        connections,
    )


def has_receiver(answer: Answer) -> bool:
    """Return whether the instance still receives another's log."""
    return _read_fields(answer)[-1] > 0


def _read_fields(answer: Answer) -> _Fields:
    return msgspec.json.decode(answer.rows[0][0] or '', type=_Fields)


def _name_followed(upstream: Upstream | None) -> str:
    if upstream is None or upstream.primary is None:
        return ''
    return upstream.primary.endpoint
