"""Acknowledges a write while its primary surely has not been replaced yet.

For services that choose latency over the survival of every acknowledged write:
what no replica has stored is lost with its primary.
"""

from typing import ClassVar, final

from catkincrank.acknowledgement import (
    Acknowledgement,
    WriteStatus,
    acknowledgements,
)
from catkincrank.acknowledgements.replica import ReplicaAcknowledgement
from catkincrank.feed import Feed
from catkincrank.history import LogMark

__all__ = ('BoundedAcknowledgement',)

_VALIDITY_S = 1
_MAX_DRIFT = 0.01
_PAUSE_S = 1


@final
@acknowledgements.register('bounded')
class BoundedAcknowledgement(Acknowledgement):
    """Trusts a majority's lack of promises for a validity time.

    A promotion waits ``promotion_delay_s`` after it has sealed a majority. So
    a majority that was seen without a promise keeps the term alone for that
    long, on any clock that drifts by at most one part in a hundred. The delay
    also covers a pause between this check and the sending of the answer.
    """

    outlives_primary: ClassVar[bool] = False
    promotion_delay_s: ClassVar[float] = (
        _VALIDITY_S * (1 + _MAX_DRIFT) + _PAUSE_S
    )

    def check(
        self,
        group: str,
        mark: LogMark,
        feed: Feed,
        now: float,
    ) -> WriteStatus:
        """Say how the write that ended at ``mark`` stands."""
        standing = ReplicaAcknowledgement().check(group, mark, feed, now)
        if standing is not WriteStatus.PENDING:
            return standing
        history = feed.history(group)
        if history is None or history.term != mark.term:
            return WriteStatus.PENDING
        seen_at = feed.evidence(group).last_current_at(mark.term)
        if now - seen_at <= _VALIDITY_S * (1 - _MAX_DRIFT):
            return WriteStatus.CONFIRMED
        return WriteStatus.PENDING
