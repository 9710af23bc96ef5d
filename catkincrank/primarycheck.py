"""Checks that a read from a primary saw all writes acknowledged earlier."""

from typing import final

from catkincrank.errors import EndpointError
from catkincrank.groupupdates import GroupUpdates

__all__ = ('PrimaryCheck',)


@final
class PrimaryCheck:
    """Waits for evidence that a primary had not been replaced.

    Args:
        group_updates: Evidence about the groups, with change notices.
    """

    __slots__ = ('_feed', '_group_updates')

    def __init__(self, group_updates: GroupUpdates) -> None:
        self._group_updates = group_updates
        self._feed = group_updates.feed

    async def confirm(self, group: str, endpoint: str, since: float) -> None:
        """Return once ``endpoint`` is known to have been primary at ``since``.

        No later term had begun by then, so the endpoint's data include every
        write that was acknowledged before.

        Args:
            group: The group.
            endpoint: Instance that answered the read.
            since: When the read arrived, in seconds.

        Raises:
            EndpointError: Another instance is the primary now.
        """
        evidence = self._feed.evidence(group)
        while True:
            revision = evidence.revision
            primary = self._feed.primary(group)
            if primary and primary.status.endpoint != endpoint:
                raise EndpointError('the primary was replaced', was_sent=True)
            if (
                primary
                and evidence.last_current_at(primary.status.term) >= since
            ):
                return
            await self._group_updates.wait(group, revision)
