"""How many instances an acknowledgement and a promotion need, and which wins.

Every set that acknowledges a write shares an instance with every set that
seals an older term, and the shared one still holds the write.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import final

from catkincrank.history import LogMark
from catkincrank.instance import InstanceStatus, Role

__all__ = (
    'Choice',
    'choose_successor',
    'count_acknowledgement_quorum',
    'count_seal_quorum',
    'find_held_mark',
    'needs_claim',
)


def count_acknowledgement_quorum(members: int) -> int:
    """Return how many of ``members`` hold a write that is acknowledged."""
    return members // 2 + 1


def count_seal_quorum(members: int) -> int:
    """Return how many of ``members`` a promotion seals at least.

    It is the smallest number that meets every acknowledging set.
    """
    return members - count_acknowledgement_quorum(members) + 1


def needs_claim(members: int) -> bool:
    """Whether two promotions of one term could seal sets that do not meet.

    Such groups have an even number of members; the store's conditional write
    must then grant the term to one keeper.
    """
    return 2 * count_seal_quorum(members) <= members


def find_held_mark(status: InstanceStatus) -> LogMark:
    """Return the mark of the newest record that an instance stores.

    A replica that has joined a newer term knows its history before it has the
    records, so the term is that of the position it has reached.
    """
    terms = [
        start.term
        for start in status.history.starts
        if start.position <= status.received
    ]
    first = status.history.starts[0].term
    return LogMark(max(terms, default=first), status.received)


@final
@dataclass(frozen=True, slots=True)
class Choice:
    """Which instance is to be promoted.

    Attributes:
        target: The replica to promote.
        source: An old primary that holds more, which the target should first
            copy; empty when there is none.
        mark: What the target, or else the source, holds.
        is_covered: Whether the target is known to hold every acknowledged
            write even without the source.
    """

    target: str
    source: str
    mark: LogMark
    is_covered: bool


def choose_successor(
    sealed: Mapping[str, InstanceStatus],
    members: int,
) -> Choice | None:
    """Return the choice among ``sealed`` instances; ``None`` without replica.

    An instance that is a primary can't be promoted again: its log is copied
    by a replica first. Each acknowledged write is held by its primary and at
    least one replica, so enough sealed replicas cover it by themselves.
    """
    replicas = {
        name: status
        for name, status in sealed.items()
        if status.role is Role.REPLICA
    }
    if not replicas:
        return None
    target = _find_fullest(replicas.values())
    fullest = _find_fullest(sealed.values())
    held = find_held_mark(target)
    most = find_held_mark(fullest)
    return Choice(
        target.endpoint,
        '' if held == most else fullest.endpoint,
        most,
        held == most or len(replicas) >= count_seal_quorum(members),
    )


def _find_fullest(statuses: Iterable[InstanceStatus]) -> InstanceStatus:
    return max(
        sorted(statuses, key=lambda status: status.endpoint),
        key=find_held_mark,
    )
