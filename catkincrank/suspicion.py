"""Failure detection for one instance, by unanswered probes.

Silence is counted from the first unanswered probe, so an interval without
probes is no evidence of a failure. If the keeper itself was paused, as shown
by a gap between its ticks, the apparent silence was caused by that pause and
is discarded.
"""

from typing import final

__all__ = ('SUSPICION_TIMEOUT_S', 'PauseDetector', 'Suspicion')

SUSPICION_TIMEOUT_S = 2.3
_MAX_TICK_GAP_S = 0.5


@final
class PauseDetector:
    """Detects pauses of this process by the gaps between its ticks."""

    __slots__ = ('_ticked_at',)

    def __init__(self, now: float) -> None:
        self._ticked_at = now

    def tick(self, now: float) -> float:
        """Return how long this process was paused, in s; 0 if it was not."""
        gap = now - self._ticked_at
        self._ticked_at = max(now, self._ticked_at)
        return gap if gap > _MAX_TICK_GAP_S else 0


@final
class Suspicion:
    """How long one instance has not answered one keeper.

    Attributes:
        probed_at: Time of the first unanswered probe, in seconds; ``None``
            if there is none.
        answered_at: Time of the newest answer, in seconds.
        reason: Why the newest probe failed; empty after an answer.
    """

    __slots__ = ('answered_at', 'probed_at', 'reason')

    def __init__(self) -> None:
        self.probed_at: float | None = None
        self.answered_at: float | None = None
        self.reason = ''

    def record_probe(self, now: float) -> None:
        """Record that a probe was sent; later probes keep the first time."""
        if self.probed_at is None:
            self.probed_at = now

    def record_answer(self, now: float) -> None:
        """Record that the instance answered."""
        self.probed_at = None
        self.answered_at = now
        self.reason = ''

    def record_failure(self, reason: str) -> None:
        """Record why the newest probe failed."""
        self.reason = reason

    def discard(self, now: float) -> None:
        """Discard silence from before ``now``."""
        if self.probed_at is not None:
            self.probed_at = now

    def silence_s(self, now: float) -> float:
        """Return how long probes have gone unanswered, in seconds."""
        return 0 if self.probed_at is None else max(0, now - self.probed_at)

    def is_suspect(self, now: float) -> bool:
        """Whether the silence has reached the suspicion time-out."""
        return self.silence_s(now) >= SUSPICION_TIMEOUT_S
