"""Decides whether, and when, the proxy runs a failed request once more."""

import random
from dataclasses import dataclass
from typing import final

from catkincrank.verdict import Verdict

__all__ = (
    'OPENING_BACKOFF',
    'Backoff',
    'GiveUp',
    'Retry',
    'RetryBudget',
    'plan_retry',
)

_MAX_DOUBLINGS = 16


@final
@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential delays with full jitter.

    Attributes:
        base_s: Greatest delay before the first retry.
        cap_s: Greatest delay before any retry.
        floor_s: Least delay.
    """

    base_s: float = 0.02
    cap_s: float = 1
    floor_s: float = 0.005

    def delay(self, attempt: int, source: random.Random) -> float:
        """Return the delay before retry number ``attempt``, from 1 on."""
        doublings = min(max(0, attempt - 1), _MAX_DOUBLINGS)
        longest = min(self.cap_s, self.base_s * (1 << doublings))
        return max(self.floor_s, source.uniform(0, longest))


# Pauses before an endpoint that refused is asked again: a new connection takes
# it 12 ms, and the shortest target of a request at both users is 0.3 s.
OPENING_BACKOFF = Backoff(base_s=0.04, cap_s=0.4)  # noqa: WPS432


@final
class RetryBudget:
    """Bounds retries to a share of the requests that came in.

    Args:
        ratio: Retries earned by each request.
        reserve: Retries that can be saved up; also what there is at first.
    """

    __slots__ = ('_balance', '_ratio', '_reserve')

    def __init__(self, ratio: float = 0.2, reserve: float = 10) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    @property
    def balance(self) -> float:
        """Retries that could be made now."""
        return self._balance

    def record_request(self) -> None:
        """Earn for a request that came in."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def take(self) -> bool:
        """Pay for one retry; return whether there was enough."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


@final
@dataclass(frozen=True, slots=True)
class Retry:
    """Run the request again at ``at``, in seconds."""

    at: float


@final
@dataclass(frozen=True, slots=True)
class GiveUp:
    """Give the failure to the caller.

    Attributes:
        cause: Why no retry is made.
        retry_after_s: When the caller may come back; ``None`` when it must
            not without a request key.
    """

    cause: str
    retry_after_s: float | None


def plan_retry(
    verdict: Verdict,
    attempt: int,
    now: float,
    deadline: float,
    *,
    budget: RetryBudget,
    backoff: Backoff,
    source: random.Random,
) -> Retry | GiveUp:
    """Decide on a request whose run number ``attempt`` failed.

    Only what surely did not run is run again.
    """
    if verdict is not Verdict.NOT_RUN:
        return GiveUp('it may have run', None)
    delay = backoff.delay(attempt, source)
    if now + delay >= deadline:
        return GiveUp('its deadline would pass', delay)
    if not budget.take():
        return GiveUp('too many retries are under way', backoff.cap_s)
    return Retry(now + delay)
