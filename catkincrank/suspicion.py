"""Whether an instance that does not answer should be held for failed.

Silence counts from the first question that was not answered, so a pause
between questions is no evidence. A keeper whose own clock jumped has been
paused itself: what looked like silence was its own, and is dropped.
"""

from typing import final

__all__ = ('SUSPICION_S', 'ClockGuard', 'Suspicion')

SUSPICION_S = 2.3
_PAUSE_LIMIT_S = 0.5


@final
class ClockGuard:
    """Notices that this process stood still, by the gaps between ticks."""

    __slots__ = ('_ticked_at',)

    def __init__(self, now: float) -> None:
        self._ticked_at = now

    def tick(self, now: float) -> float:
        """Return for how long this process was paused; 0 when it was not."""
        gap = now - self._ticked_at
        self._ticked_at = max(now, self._ticked_at)
        return gap if gap > _PAUSE_LIMIT_S else 0


@final
class Suspicion:
    """Silence of one instance towards one keeper."""

    __slots__ = ('asked_at', 'heard_at', 'reason')

    def __init__(self) -> None:
        self.asked_at: float | None = None
        self.heard_at: float | None = None
        self.reason = ''

    def ask(self, now: float) -> None:
        """Take in that the instance was asked."""
        if self.asked_at is None:
            self.asked_at = now

    def receive(self, now: float) -> None:
        """Take in that the instance answered."""
        self.asked_at = None
        self.heard_at = now
        self.reason = ''

    def fail(self, reason: str) -> None:
        """Keep why the newest question was not answered."""
        self.reason = reason

    def discard(self, now: float) -> None:
        """Drop evidence gathered before ``now``."""
        if self.asked_at is not None:
            self.asked_at = now

    def silence_s(self, now: float) -> float:
        """Return for how long questions have gone without an answer."""
        return 0 if self.asked_at is None else max(0, now - self.asked_at)

    def is_suspect(self, now: float) -> bool:
        """Whether the silence is too long."""
        return self.silence_s(now) >= SUSPICION_S
