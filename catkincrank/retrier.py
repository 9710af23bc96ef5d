"""Delays the retries of requests, within a retry budget per group."""

import random
from typing import final

import anyio

from catkincrank.request import Request
from catkincrank.retry import Backoff, GiveUp, RetryBudget, plan_retry
from catkincrank.verdict import RequestError, Verdict

__all__ = ('Retrier',)


@final
class Retrier:
    """Paces retries, with a retry budget for each group.

    Args:
        source: Random numbers for the jitter of the delays.
    """

    __slots__ = ('_backoff', '_budgets', '_source')

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._backoff = Backoff()
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, group: str) -> None:
        """Credit the budget of ``group`` for a request that arrived."""
        self._budget(group).record_request()

    def delay(self, attempt: int) -> float:
        """Return the delay in seconds after failure number ``attempt``."""
        return self._backoff.delay(attempt, self._source)

    async def pause(
        self,
        request: Request,
        attempt: int,
        failure: RequestError,
    ) -> None:
        """Wait until the request may be retried.

        Raises:
            RequestError: The request may not be retried; this is its result.
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
