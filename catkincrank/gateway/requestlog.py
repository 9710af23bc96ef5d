"""Log lines and metrics of requests, with a rate limit."""

from typing import final

import anyio

from catkincrank.gateway.reply import Reply
from catkincrank.gateway.session import Session
from catkincrank.gateway.statement import Statement
from catkincrank.logs import log_event
from catkincrank.metrics import Metrics

__all__ = ('LineBudget', 'RequestLog')

# Enough for a second in which each request fails, at the users' load of 30
# requests per second and VM, and for a burst of ten times that.
_LINES_PER_S = 50
_BURST_LINES = 300


@final
class LineBudget:
    """Token bucket for log lines.

    Args:
        rate: Tokens added per second, one for each line.
        burst: Capacity of the bucket, in lines.

    Attributes:
        dropped: Lines dropped since the count was last reset.
    """

    __slots__ = ('_balance', '_burst', '_rate', '_updated_at', 'dropped')

    def __init__(
        self,
        rate: float = _LINES_PER_S,
        burst: float = _BURST_LINES,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._balance = burst
        self._updated_at: float = 0
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Take a token for one line; return whether there was one."""
        earned = (now - self._updated_at) * self._rate
        self._balance = min(self._burst, self._balance + earned)
        self._updated_at = now
        if self._balance < 1:
            self.dropped += 1
            return False
        self._balance -= 1
        return True

    def reset_dropped(self) -> int:
        """Return the number of dropped lines and reset it."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


@final
class RequestLog:
    """Records the outcome of requests in log lines and metrics.

    Args:
        metrics: Metrics of the process.
        budget: Limits the rate of log lines.
    """

    __slots__ = ('_budget', '_latency', '_requests')

    def __init__(self, metrics: Metrics, budget: LineBudget) -> None:
        self._budget = budget
        self._requests = metrics.counter(
            'requests',
            'Statements of callers by kind and outcome.',
            ('kind', 'outcome'),
        )
        self._latency = metrics.histogram(
            'request_seconds',
            'Time from a statement to its answer.',
            ('kind',),
        )

    def record_statement(  # noqa: WPS211
        self,
        session: Session,
        statement: Statement,
        reply: Reply,
        took_s: float,
        service: str,
    ) -> None:
        """Count the answer to a statement; log it if it is a failure."""
        kind = statement.kind.value
        failure = reply.refusal and reply.refusal.failure
        outcome = 'ok' if failure is None else failure.name.lower()
        self._requests.labels(kind, outcome).inc()
        self._latency.labels(kind).observe(took_s)
        if failure is None:
            return
        self._write(
            'request_refused',
            request=statement.request_id.decode('ascii', 'replace'),
            database=session.database,
            service=service,
            kind=kind,
            outcome=outcome,
            verdict=failure.verdict.value,
            cause=reply.refusal.detail.decode('ascii', 'replace'),
            took_ms=round(took_s * 1000, 1),
        )

    def record_unknown_database(self, database: str) -> None:
        """Log a connection attempt that named an unknown database."""
        self._write('database_unknown', database=database)

    def record_idle_transaction(self, session: Session) -> None:
        """Log a transaction that was rolled back by the idle time-out."""
        self._write('transaction_idled', database=session.database)

    def record_disconnect(self, session: Session | None) -> None:
        """Log a caller that disconnected within a transaction."""
        if session is not None and session.transaction is not None:
            self._write('caller_left', database=session.database)

    def record_crash(self, session: Session | None, error: Exception) -> None:
        """Log a session that ended by an internal error of the proxy."""
        self._write(
            'session_crashed',
            database='' if session is None else session.database,
            cause=repr(error),
        )

    def _write(self, event: str, **fields: object) -> None:
        if not self._budget.take(anyio.current_time()):
            return
        dropped = self._budget.reset_dropped()
        if dropped:
            fields['lines_dropped'] = dropped
        log_event(event, **fields)
