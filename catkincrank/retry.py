"""Decides whether and when the proxy retries a failed request."""

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
        base_s: Longest delay before the first retry.
        cap_s: Longest delay before any retry.
        floor_s: Shortest delay before any retry.
    """

    base_s: float = 0.02
    cap_s: float = 1
    floor_s: float = 0.005

    def delay(self, attempt: int, source: random.Random) -> float:
        """Return the delay before retry number ``attempt``, from 1 on."""
        doublings = min(max(0, attempt - 1), _MAX_DOUBLINGS)
        longest = min(self.cap_s, self.base_s * (1 << doublings))
        return max(self.floor_s, source.uniform(0, longest))


# Delays before another attempt at an endpoint that refused a connection or a
# statement. Opening a connection takes an endpoint 12 ms, and the shortest
# latency target that a caller has for a request is 0.3 s.
OPENING_BACKOFF = Backoff(base_s=0.04, cap_s=0.4)  # noqa: WPS432


@final
class RetryBudget:
    """Limits retries to a share of the requests that arrive.

    Args:
        ratio: Retries earned by each request.
        reserve: Greatest balance of retries; also the initial balance.
    """

    __slots__ = ('_balance', '_ratio', '_reserve')

    def __init__(self, ratio: float = 0.2, reserve: float = 10) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    @property
    def balance(self) -> float:
        """Number of retries that the budget allows now."""
        return self._balance

    def record_request(self) -> None:
        """Add the share earned by a request that arrived."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def spend(self) -> bool:
        """Deduct one retry; return whether the balance sufficed."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


@final
@dataclass(frozen=True, slots=True)
class Retry:
    """Retry the request at the time ``at``, in seconds."""

    at: float


@final
@dataclass(frozen=True, slots=True)
class GiveUp:
    """Return the failure to the caller.

    Attributes:
        cause: Why the request is not retried.
        retry_after_s: Seconds after which the caller may retry; ``None`` when
            it must not retry without a request key.
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
    """Decide whether to retry a request whose attempt ``attempt`` failed.

    Only a request that certainly did not run is retried.
    """
    if verdict is not Verdict.NOT_RUN:
        return GiveUp('it may have run', None)
    delay_s = backoff.delay(attempt, source)
    if now + delay_s >= deadline:
        return GiveUp('the deadline would pass before a retry', delay_s)
    if not budget.spend():
        return GiveUp('the retry budget is exhausted', backoff.cap_s)
    return Retry(now + delay_s)
