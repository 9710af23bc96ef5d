"""Waits until a committed write may be acknowledged."""

from typing import final

import anyio

from catkincrank.acknowledgement import WriteStatus
from catkincrank.groupupdates import GroupUpdates
from catkincrank.history import LogMark
from catkincrank.request import Request
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('Acknowledger',)


@final
class Acknowledger:
    """Applies acknowledgement policies to commits.

    Args:
        group_updates: Evidence about the groups, with change notices.
    """

    __slots__ = ('_feed', '_group_updates')

    def __init__(self, group_updates: GroupUpdates) -> None:
        self._group_updates = group_updates
        self._feed = group_updates.feed

    async def confirm(self, request: Request, mark: LogMark | None) -> None:
        """Return once the write that ended at ``mark`` is confirmed.

        Raises:
            RequestError: The primary was replaced and the new history lacks
                the write.
        """
        policy = request.acknowledgement
        if policy is None:
            raise _make_error('no acknowledgement policy was chosen')
        if mark is None:
            raise _make_error(
                'the endpoint reported no log position for the commit'
            )
        while True:
            revision = self._feed.revision(request.group)
            now = anyio.current_time()
            status = policy.check(request.group, mark, self._feed, now)
            if status is WriteStatus.CONFIRMED:
                return
            if status is WriteStatus.REPLACED:
                raise _make_error(
                    'the primary was replaced before a replica had the write'
                )
            await self._group_updates.wait(request.group, revision)


def _make_error(cause: str) -> RequestError:
    return RequestError(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        'the outcome is not known: {0}'.format(cause),
    )
