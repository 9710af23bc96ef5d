"""Decides what to record about a group whose row is missing.

A group has no row before its first primary is recorded, and again if a restored
store lacks the row and no process remembers it.
"""

from collections.abc import Collection
from typing import final

from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.logs import log_event

__all__ = ('FirstPrimary',)

# A promotion that an earlier lease holder called takes effect within this time,
# and an endpoint that is being restarted registers again.
_UNLED_LIMIT_S = 3.0
_Answers = Collection[tuple[EndpointEntry, EndpointState]]


@final
class FirstPrimary:
    """Chooses the first record of groups without a row."""

    __slots__ = ('_unled_since',)

    def __init__(self) -> None:
        # When no endpoint led a group for the first time, by service and by
        # token of the lease.
        self._unled_since: dict[tuple[str, int], float] = {}

    def choose(
        self,
        service: str,
        asked: int,
        answers: _Answers,
        token: int,
        now: float,
        *,
        may_mark: bool,
    ) -> GroupRecord | None:
        """Return the record to write; ``None`` while it is not known.

        The primary of the newest term is recorded. If no endpoint leads that
        term for some time and all of them answer, the record is marked for
        replacement and has no primary. An endpoint that does not answer may be
        the primary, so it is waited for.

        Args:
            service: The group.
            asked: Number of registered endpoints, all of which were asked.
            answers: The endpoints that answered, with their states.
            token: Token of the lease.
            now: Current time.
            may_mark: Whether no grant of an earlier lease holder is valid.
        """
        newest_term = max((_term_of(state) for _, state in answers), default=0)
        for entry, state in answers:
            if state.is_primary and state.term == newest_term:
                return _record(service, entry, state)
        since = self._unled_since.setdefault((service, token), now)
        is_complete = asked > 0 and len(answers) == asked
        is_due = now >= since + _UNLED_LIMIT_S
        if not (may_mark and is_complete and is_due):
            return None
        log_event('group_unled', 'WARNING', service=service, term=newest_term)
        return GroupRecord(service, '', 0, newest_term, is_replacing=True)


def _record(
    service: str, entry: EndpointEntry, state: EndpointState
) -> GroupRecord:
    base = (state.term, state.received.term, state.received.number)
    return GroupRecord(
        service, entry.endpoint_id, entry.born_ms, state.term, bases=(base,)
    )


def _term_of(state: EndpointState) -> int:
    """Return the newest term that an endpoint knows."""
    return max(state.term, state.promised)
