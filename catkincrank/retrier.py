"""Waits between the attempts of a request, within a budget per group."""

import random
from typing import final

import anyio

from catkincrank.request import Request
from catkincrank.retry import Backoff, GiveUp, RetryBudget, plan_retry
from catkincrank.verdict import RequestError, Verdict

__all__ = ('Retrier',)


@final
class Retrier:
    """Keeps one retry budget for each group.

    Args:
        source: Random numbers that spread the attempts.
    """

    __slots__ = ('_backoff', '_budgets', '_source')

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._backoff = Backoff()
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, group: str) -> None:
        """Earn a share of a retry for a request that came in."""
        self._budget(group).record_request()

    def delay(self, attempt: int) -> float:
        """Return how long to wait after failure number ``attempt``."""
        return self._backoff.delay(attempt, self._source)

    async def pause(
        self,
        request: Request,
        attempt: int,
        failure: RequestError,
    ) -> None:
        """Wait until the request may be tried again.

        Raises:
            RequestError: It may not; this is its final answer.
        """
        if attempt >= request.attempts:
            raise failure
        plan = plan_retry(
            Verdict.NOT_RUN,
            attempt,
            anyio.current_time(),
            request.deadline_at,
            budget=self._budget(request.group),
            backoff=self._backoff,
            source=self._source,
        )
        if isinstance(plan, GiveUp):
            raise RequestError(
                failure.verdict,
                failure.reason,
                '{0}; {1}'.format(failure.message, plan.cause),
                retry_after_s=plan.retry_after_s,
            )
        await anyio.sleep_until(plan.at)

    def _budget(self, group: str) -> RetryBudget:
        return self._budgets.setdefault(group, RetryBudget())
