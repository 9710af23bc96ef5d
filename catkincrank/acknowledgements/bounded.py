"""Acknowledges a write while its primary cannot have been replaced yet.

For services that prefer low latency over the durability of every acknowledged
write: a write that no replica has stored is lost with its primary.
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
_MAX_CLOCK_DRIFT = 0.01
_MAX_PAUSE_S = 1


@final
@acknowledgements.register('bounded')
class BoundedAcknowledgement(Acknowledgement):
    """Requires a recent observation that no later term can have begun.

    A promotion waits ``promotion_delay_s`` after it has sealed a majority.
    Therefore no later term can begin for that long after a majority was seen
    without a promise to one, on any clock that drifts by at most one part in
    a hundred. The delay also covers a pause between this check and the
    sending of the answer.
    """

    outlives_primary: ClassVar[bool] = False
    promotion_delay_s: ClassVar[float] = (
        _VALIDITY_S * (1 + _MAX_CLOCK_DRIFT) + _MAX_PAUSE_S
    )

    def check(
        self,
        group: str,
        mark: LogMark,
        feed: Feed,
        now: float,
    ) -> WriteStatus:
        """Return the status of the write that ended at ``mark``."""
        status = ReplicaAcknowledgement().check(group, mark, feed, now)
        if status is not WriteStatus.PENDING:
            return status
        history = feed.history(group)
        if history is None or history.term != mark.term:
            return WriteStatus.PENDING
        seen_at = feed.evidence(group).last_current_at(mark.term)
        if now - seen_at <= _VALIDITY_S * (1 - _MAX_CLOCK_DRIFT):
            return WriteStatus.CONFIRMED
        return WriteStatus.PENDING
