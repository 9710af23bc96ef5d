"""Acknowledges a write once a majority of its group has stored it."""

from typing import final

from catkincrank.acknowledgement import (
    Acknowledgement,
    WriteStatus,
    acknowledgements,
)
from catkincrank.feed import Feed, GroupEvidence
from catkincrank.history import Containment, LogMark

__all__ = ('ReplicaAcknowledgement',)


@final
@acknowledgements.register('replica')
class ReplicaAcknowledgement(Acknowledgement):
    """Waits for a majority that stored the write within one term.

    A later term begins at the fullest of a majority that has promised it, and
    both majorities share an instance, so every later term holds the write.
    Instances count only together with others of the same term: those of an
    older term do not bind a promotion that is already under way.
    """

    def check(
        self,
        group: str,
        mark: LogMark,
        feed: Feed,
        now: float,
    ) -> WriteStatus:
        """Say how the write that ended at ``mark`` stands."""
        evidence = feed.evidence(group)
        if any(_is_stored(evidence, term, mark) for term in evidence.histories):
            return WriteStatus.CONFIRMED
        history = feed.history(group)
        if history is None or history.locate(mark) is not Containment.LOST:
            return WriteStatus.PENDING
        return WriteStatus.REPLACED


def _is_stored(evidence: GroupEvidence, term: int, mark: LogMark) -> bool:
    """Whether a majority stored ``mark`` while it was bound to ``term``."""
    if not evidence.majority:
        return False
    if evidence.histories[term].locate(mark) is not Containment.HELD:
        return False
    holders = {
        endpoint
        for endpoint, position in evidence.accepted.get(term, {}).items()
        if position >= mark.position and endpoint in evidence.members
    }
    if term == mark.term:
        # The primary that committed the write holds it; it may be unnamed.
        holders.add(evidence.primaries.get(term, ''))
    return len(holders) >= evidence.majority
