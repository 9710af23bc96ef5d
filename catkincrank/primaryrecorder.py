"""Records new primaries in the store, retrying while it is unavailable."""

from typing import final

from catkincrank.failoveractions import (
    Action,
    Claim,
    ClaimRecord,
    Done,
    Failed,
    ReadClaim,
)

__all__ = ('PrimaryRecorder',)

_RETRY_INTERVAL_S = 5.0


@final
class PrimaryRecorder:
    """Records the primary that a keeper promoted in one group.

    Attributes:
        pending: Record not yet stored; ``None`` when there is none.
    """

    __slots__ = ('_retry_at', 'pending')

    def __init__(self) -> None:
        self.pending: ClaimRecord | None = None
        self._retry_at: float = 0

    def add(self, record: ClaimRecord, now: float) -> list[Action]:
        """Begin to write ``record`` to the store.

        Args:
            record: The new primary, with the version of the stored record
                that was read last; the store rejects any other version.
            now: Current time in seconds.
        """
        self.pending = record
        self._retry_at = now + _RETRY_INTERVAL_S
        return [Claim(record)]

    def tick(self, now: float) -> list[Action]:
        """Return the retry that is due while a record is pending."""
        if self.pending is None or now < self._retry_at:
            return []
        self._retry_at = now + _RETRY_INTERVAL_S
        return [ReadClaim()]

    def handle(self, event: Done | Failed) -> list[Action]:
        """Handle a response of the store; return the next actions."""
        pending = self.pending
        if pending is None or isinstance(event, Failed):
            return []
        found = event.record
        if found is None:
            return []
        if found.term > pending.term or _is_same(found, pending):
            self.pending = None
            return []
        if isinstance(event.action, Claim):
            return []
        return [
            Claim(
                ClaimRecord(
                    pending.term,
                    pending.keeper,
                    pending.primary,
                    pending.position,
                    found.version,
                ),
            ),
        ]


def _is_same(found: ClaimRecord, pending: ClaimRecord) -> bool:
    return (found.term, found.primary) == (pending.term, pending.primary)
