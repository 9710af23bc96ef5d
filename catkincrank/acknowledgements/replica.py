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
    """Requires a majority that stored the write within one term.

    A later term begins at the most advanced instance of a majority that
    promised it. The two majorities share an instance, so every later term
    holds the write. Only instances of the same term are counted together:
    those of an older term do not bind a promotion that is already under way.
    """

    def check(
        self,
        group: str,
        mark: LogMark,
        feed: Feed,
        now: float,
    ) -> WriteStatus:
        """Return the status of the write that ended at ``mark``."""
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
        # The committing primary holds the write, even if its name is unknown.
        holders.add(evidence.primaries.get(term, ''))
    return len(holders) >= evidence.majority
