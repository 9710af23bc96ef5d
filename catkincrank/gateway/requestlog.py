"""Log lines and metrics of requests, bounded in volume."""

from typing import final

import anyio

from catkincrank.gateway.reply import Reply
from catkincrank.gateway.session import Session
from catkincrank.gateway.statement import Statement
from catkincrank.logs import log_event
from catkincrank.metrics import Metrics

__all__ = ('LineBudget', 'RequestLog')

# Lines about requests: enough for each failed request of a bad second at the
# users' rates of 30 a second and VM, with a burst ten times that.
_LINES_PER_S = 50
_BURST_LINES = 300


@final
class LineBudget:
    """Token bucket for log lines.

    Args:
        rate: Lines earned each second.
        burst: Lines that can be saved up.

    Attributes:
        dropped: Lines left out since the last one that got through.
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
        """Pay for one line; return whether it may be written."""
        earned = (now - self._updated_at) * self._rate
        self._balance = min(self._burst, self._balance + earned)
        self._updated_at = now
        if self._balance < 1:
            self.dropped += 1
            return False
        self._balance -= 1
        return True

    def take_dropped(self) -> int:
        """Return how many lines were left out, and start anew."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


@final
class RequestLog:
    """Notes what became of each request.

    Args:
        metrics: Metrics of the process.
        budget: Limits the lines.
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
        """Note the answer to a statement; failures get a log line."""
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
        """Note a caller that named no known database."""
        self._write('database_unknown', database=database)

    def record_idle_transaction(self, session: Session) -> None:
        """Note a transaction that was rolled back because it idled."""
        self._write('transaction_idled', database=session.database)

    def record_disconnect(self, session: Session | None) -> None:
        """Note a caller that went away."""
        if session is not None and session.transaction is not None:
            self._write('caller_left', database=session.database)

    def record_crash(self, session: Session | None, error: Exception) -> None:
        """Note a session that ended by an error of the proxy's own."""
        self._write(
            'session_crashed',
            database='' if session is None else session.database,
            cause=repr(error),
        )

    def _write(self, event: str, **fields: object) -> None:
        if not self._budget.take(anyio.current_time()):
            return
        dropped = self._budget.take_dropped()
        if dropped:
            fields['lines_dropped'] = dropped
        log_event(event, **fields)
