"""Endpoints that may become primary, and their order of preference."""

from collections import Counter
from typing import final

from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry

__all__ = ('Candidate', 'CandidateRanking', 'is_newer_primary')

Candidate = tuple[EndpointEntry, EndpointState]
# The platform ignores the promotion of an endpoint that it takes for the
# primary. After this many promotions without an effect, an endpoint with a
# shorter log is chosen; the first ones may only have been slow.
_MAX_INEFFECTIVE = 3


@final
class CandidateRanking:
    """Ranks successors by their logs and by earlier promotions."""

    __slots__ = ('_ineffective',)

    def __init__(self) -> None:
        # Promotions without an effect by service, term of the replaced primary
        # and endpoint.
        self._ineffective: Counter[tuple[str, int, str]] = Counter()

    def count_ineffective(
        self, record: GroupRecord, entry: EndpointEntry
    ) -> None:
        """Count a promotion that did not take effect in time."""
        key = (record.service, record.term, entry.endpoint_id)
        self._ineffective[key] += 1

    def rank(
        self, record: GroupRecord, entry: EndpointEntry, received: Position
    ) -> tuple[bool, Position, int]:
        """Return the preference for a successor; the greatest is chosen."""
        key = (record.service, record.term, entry.endpoint_id)
        failed = self._ineffective[key]
        return failed < _MAX_INEFFECTIVE, received, -failed


def is_newer_primary(state: EndpointState, record: GroupRecord) -> bool:
    """Return whether an endpoint is primary in a later term than recorded."""
    return state.is_primary and state.term > record.term
