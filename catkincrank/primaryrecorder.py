"""Records new primaries in the store, later if it is out."""

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

_RETRY_S = 5.0


@final
class PrimaryRecorder:
    """The outcome that one keeper has yet to record for one group."""

    __slots__ = ('_due_at', 'pending')

    def __init__(self) -> None:
        self.pending: ClaimRecord | None = None
        self._due_at: float = 0

    def add(self, outcome: ClaimRecord, now: float) -> list[Action]:
        """Record ``outcome``, whose version is the one last met."""
        self.pending = outcome
        self._due_at = now + _RETRY_S
        return [Claim(outcome)]

    def tick(self, now: float) -> list[Action]:
        """Return what is due while an outcome is not recorded."""
        if self.pending is None or now < self._due_at:
            return []
        self._due_at = now + _RETRY_S
        return [ReadClaim()]

    def handle(self, event: Done | Failed) -> list[Action]:
        """Take in an answer of the store; return what to do next."""
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
