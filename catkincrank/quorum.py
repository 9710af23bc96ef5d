"""Quorums of acknowledgements and promotions, and the choice of a successor.

Every set of instances that acknowledges a write intersects every set that is
sealed against its term, and the instance in both still holds the write.
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
    """Return how many of ``members`` must hold an acknowledged write."""
    return members // 2 + 1


def count_seal_quorum(members: int) -> int:
    """Return how many of ``members`` a promotion must seal at least.

    It is the smallest number that intersects every acknowledging set.
    """
    return members - count_acknowledgement_quorum(members) + 1


def needs_claim(members: int) -> bool:
    """Whether two promotions of one term could seal disjoint sets.

    This is so in groups with an even number of members. The store's
    conditional write must then grant the term to one keeper.
    """
    return 2 * count_seal_quorum(members) <= members


def find_held_mark(status: InstanceStatus) -> LogMark:
    """Return the mark of the newest record that an instance stores.

    A replica that has joined a newer term knows the history before it has the
    records, so the mark's term is the one at the position it has received.
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
    """The instance to be promoted.

    Attributes:
        target: The replica to promote.
        source: An old primary that holds more, from which the target should
            copy first; empty if there is none.
        mark: Newest mark held by the source, or by the target without one.
        is_covered: Whether the target is known to hold every acknowledged
            write without copying from the source.
    """

    target: str
    source: str
    mark: LogMark
    is_covered: bool


def choose_successor(
    sealed: Mapping[str, InstanceStatus],
    members: int,
) -> Choice | None:
    """Return the successor among ``sealed``; ``None`` without a replica.

    A primary cannot be promoted again, so a replica copies its log first.
    Each acknowledged write is held by its primary and at least one replica,
    so a seal quorum of replicas holds it even without the old primary.
    """
    replicas = {
        name: status
        for name, status in sealed.items()
        if status.role is Role.REPLICA
    }
    if not replicas:
        return None
    target = _find_most_advanced(replicas.values())
    most_advanced = _find_most_advanced(sealed.values())
    held = find_held_mark(target)
    newest = find_held_mark(most_advanced)
    return Choice(
        target.endpoint,
        '' if held == newest else most_advanced.endpoint,
        newest,
        held == newest or len(replicas) >= count_seal_quorum(members),
    )


def _find_most_advanced(statuses: Iterable[InstanceStatus]) -> InstanceStatus:
    return max(
        sorted(statuses, key=lambda status: status.endpoint),
        key=find_held_mark,
    )
