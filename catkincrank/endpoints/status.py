"""Decodes the answer to the status statement, a JSON array."""

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
_LOG_FIELD_COUNT = 4


def read_status(endpoint: str, answer: Answer) -> InstanceStatus:
    """Return the status of ``endpoint`` in an answer."""
    fields = _read_fields(answer)
    is_replica, timeline, *positions = fields[:_LOG_FIELD_COUNT]
    incarnation, conninfo, history, connections, _ = fields[_LOG_FIELD_COUNT:]
    upstream = parse_upstream(conninfo)
    return InstanceStatus(
        endpoint,
        incarnation or '',
        Role.REPLICA if is_replica else Role.PRIMARY,
        parse_history(history, timeline or 1),
        *(position or 0 for position in positions),
        _get_followed_endpoint(upstream) if is_replica else '',
        upstream.ballot if upstream else None,
        connections,
    )


def has_receiver(answer: Answer) -> bool:
    """Return whether the instance still receives the log of another."""
    return _read_fields(answer)[-1] > 0


def _read_fields(answer: Answer) -> _Fields:
    return msgspec.json.decode(answer.rows[0][0] or '', type=_Fields)


def _get_followed_endpoint(upstream: Upstream | None) -> str:
    if upstream is None or upstream.primary is None:
        return ''
    return upstream.primary.endpoint
