"""Gives way to a failover that another keeper has under way."""

from collections.abc import Mapping
from typing import final

from catkincrank.instance import Ballot, InstanceStatus

__all__ = ('CompetingFailover',)

_PROGRESS_TIMEOUT_S = 0.7


@final
class CompetingFailover:
    """Tracks the newest ballot of another keeper.

    An attempt that is overtaken by a higher ballot has to start again, so
    keepers that keep overtaking each other could prevent any from finishing.

    Args:
        keeper: Name of this keeper in ballots.
        validity_s: How long an attempt waits before it promotes.
    """

    __slots__ = ('_ballot', '_keeper', '_seen_at', '_timeout_s')

    def __init__(self, keeper: str, validity_s: float) -> None:
        self._keeper = keeper
        self._timeout_s = _PROGRESS_TIMEOUT_S + validity_s
        self._ballot: Ballot | None = None
        self._seen_at: float = 0

    def may_begin(
        self,
        statuses: Mapping[str, InstanceStatus],
        now: float,
    ) -> bool:
        """Whether this keeper may start an attempt now.

        It may not while another keeper's newest ballot has been seen for less
        than the time that an attempt takes.
        """
        ballot = max(
            (
                status.sealed
                for status in statuses.values()
                if status.sealed is not None and status.is_sealed
            ),
            default=None,
        )
        if ballot is None or ballot.keeper == self._keeper:
            return True
        if ballot != self._ballot:
            self._ballot = ballot
            self._seen_at = now
        return now >= self._seen_at + self._timeout_s
