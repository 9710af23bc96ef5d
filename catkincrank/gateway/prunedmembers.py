"""Members whose rows a lease holder removed because they did not answer.

Such a process may still run, and use what it was given before. The heartbeats
of the holder list the removals, so that a process that starts later knows them.
"""

from collections.abc import Iterable
from typing import final

import anyio

from catkincrank.gateway.fleetrecords import HeartbeatRecord

__all__ = ('PrunedMembers',)

# Longer than a process can use what it was given before.
_LISTED_S = 60.0
# A write that the store does not answer is done within this time, if at all.
_LATE_WRITE_S = 6.0


@final
class PrunedMembers:
    """Removals of members that did not answer.

    Attributes:
        removed_at: Latest time of the removal of each, in seconds, by name.
        listed_since: Since when all removals are known.
    """

    __slots__ = ('_told_at', 'listed_since', 'removed_at')

    def __init__(self) -> None:
        self.removed_at: dict[str, float] = {}
        self.listed_since = anyio.current_time()
        # When the newest heartbeat was read.
        self._told_at = self.listed_since

    def record(self, names: Iterable[str]) -> None:
        """Record removals that are about to be written."""
        until = anyio.current_time() + _LATE_WRITE_S
        self.removed_at.update(dict.fromkeys(names, until))

    def make_heartbeat(self) -> HeartbeatRecord:
        """Return the heartbeat that the lease holder writes."""
        now = anyio.current_time()
        self._forget_old(now)
        return HeartbeatRecord(
            round(now - self.listed_since, 3),
            tuple(
                (name, max(0, round(now - at, 3)))
                for name, at in self.removed_at.items()
            ),
        )

    def apply(self, heartbeat: HeartbeatRecord) -> None:
        """Add what a heartbeat lists.

        It was written before it was read, so that the removals were no later
        than this. The holder also reads its own heartbeats, among them those
        from before a removal that it is about to write.
        """
        if heartbeat.listed_s is None:
            return
        now = anyio.current_time()
        since = now - heartbeat.listed_s
        if since > self._told_at:
            # Removals between the two heartbeats may be in neither.
            self.listed_since = since
        self.listed_since = min(self.listed_since, since)
        self._told_at = now
        for name, age_s in heartbeat.pruned:
            known = self.removed_at.get(name, now - age_s)
            self.removed_at[name] = max(known, now - age_s)
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        self.removed_at = {
            name: at
            for name, at in self.removed_at.items()
            if now < at + _LISTED_S
        }
