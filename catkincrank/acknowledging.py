"""Waits until a committed write may be acknowledged."""

from typing import final

import anyio

from catkincrank.acknowledgement import Standing
from catkincrank.feed import Feed, FeedWaiter
from catkincrank.history import LogMark
from catkincrank.request import Request
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('Acknowledger',)


@final
class Acknowledger:
    """Applies acknowledgement policies to commits.

    Args:
        feed: Evidence about the groups.
        waiter: Lets tasks wait for news in ``feed``.
    """

    __slots__ = ('_feed', '_waiter')

    def __init__(self, feed: Feed, waiter: FeedWaiter) -> None:
        self._feed = feed
        self._waiter = waiter

    async def confirm(self, request: Request, mark: LogMark | None) -> None:
        """Return once the write that ended at ``mark`` is confirmed.

        Raises:
            RequestError: Its primary was replaced and the history that
                followed lacks the write.
        """
        policy = request.acknowledgement
        if policy is None:
            raise _explain('no acknowledgement policy was chosen')
        if mark is None:
            raise _explain('the endpoint named no position for the commit')
        while True:
            revision = self._feed.revision(request.group)
            now = anyio.current_time()
            standing = policy.check(request.group, mark, self._feed, now)
            if standing is Standing.CONFIRMED:
                return
            if standing is Standing.REPLACED:
                raise _explain('the primary was replaced before a replica '
                               'had the commit')
            await self._waiter.changed(request.group, revision)


def _explain(cause: str) -> RequestError:
    return RequestError(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        'the outcome is not known: {0}'.format(cause),
    )
