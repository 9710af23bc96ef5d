"""Room for an attempt of another keeper that is under way."""

from collections.abc import Mapping
from typing import final

from catkincrank.instance import Ballot, InstanceStatus

__all__ = ('CompetingFailover',)

_PROGRESS_S = 0.7


@final
class CompetingFailover:
    """Since when the newest ballot of another keeper has been seen.

    An attempt that is overtaken has to begin anew, so keepers that barge in
    on one another could go on forever.

    Args:
        keeper: Name of this keeper in ballots.
        validity_s: How long an attempt waits between its steps.
    """

    __slots__ = ('_ballot', '_keeper', '_patience_s', '_seen_at')

    def __init__(self, keeper: str, validity_s: float) -> None:
        self._keeper = keeper
        self._patience_s = _PROGRESS_S + validity_s
        self._ballot: Ballot | None = None
        self._seen_at: float = 0

    def is_open(
        self,
        statuses: Mapping[str, InstanceStatus],
        now: float,
    ) -> bool:
        """Whether no other keeper's attempt may be under way."""
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
        return now >= self._seen_at + self._patience_s
