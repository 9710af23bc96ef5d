"""Reads the answer to the status statement."""

from catkincrank.endpoint import Answer
from catkincrank.endpoints.conninfo import (
    Upstream,
    parse_history,
    parse_upstream,
)
from catkincrank.instance import InstanceStatus, Role

__all__ = ('read_status',)

_BOOL_TRUE = 't'
_DETAILS = 4


def read_status(endpoint: str, answer: Answer) -> InstanceStatus:
    """Return the status that ``endpoint`` answered."""
    recovery, timeline, *positions = answer.rows[0][:_DETAILS]
    incarnation, conninfo, history, connections, _ = answer.rows[0][_DETAILS:]
    upstream = parse_upstream(conninfo)
    is_replica = recovery == _BOOL_TRUE
    return InstanceStatus(
        endpoint,
        incarnation or '',
        Role.REPLICA if is_replica else Role.PRIMARY,
        parse_history(history, int(timeline or 1)),
        *(int(position or 0) for position in positions),
        _name_followed(upstream) if is_replica else '',
        upstream.ballot if upstream else None,
        int(connections or 0),
    )


def _name_followed(upstream: Upstream | None) -> str:
    if upstream is None or upstream.primary is None:
        return ''
    return upstream.primary.endpoint
