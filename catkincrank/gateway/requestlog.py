"""Log lines and metrics of requests, with a rate limit."""

from collections.abc import Mapping
from typing import final

import anyio

from catkincrank.gateway.caller import Caller
from catkincrank.gateway.reply import Reply
from catkincrank.gateway.session import Session
from catkincrank.gateway.statement import Statement
from catkincrank.linebudget import LineBudget
from catkincrank.logs import log_event
from catkincrank.metrics import Metrics

__all__ = ('LineBudget', 'RequestLog')

# Callers with an unknown key may connect again without pause; their lines must
# not displace those of other requests.
_SESSION_LINES_PER_S = 5
_SESSION_BURST_LINES = 50
# Names in the line about sessions that end; one version may withdraw any number
# of keys.
_MAX_NAMES = 10


@final
class RequestLog:
    """Records the outcome of requests in log lines and metrics.

    Args:
        metrics: Metrics of the process.
        budget: Limits the rate of log lines.
    """

    __slots__ = (
        '_budget',
        '_denied_sessions',
        '_latency',
        '_requests',
        '_revoked_sessions',
        '_session_budget',
        '_unanswered',
    )

    def __init__(self, metrics: Metrics, budget: LineBudget) -> None:
        self._budget = budget
        self._session_budget = LineBudget(
            _SESSION_LINES_PER_S, _SESSION_BURST_LINES
        )
        self._denied_sessions = metrics.counter(
            'denied_sessions',
            'Sessions refused because no organisation has their key.',
        )
        self._revoked_sessions = metrics.counter(
            'revoked_sessions',
            'Sessions whose key was withdrawn, by state at that time.',
            ('state',),
        )
        self._requests = metrics.counter(
            'requests',
            'Statements of callers by kind and outcome.',
            ('kind', 'outcome'),
        )
        self._unanswered = metrics.counter(
            'unanswered_requests',
            'Requests whose connection ended before the reply was sent.',
            ('stage',),
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
            self._budget,
            request=statement.request_id.decode('ascii', 'replace'),
            database=session.database,
            service=service,
            kind=kind,
            outcome=outcome,
            verdict=failure.verdict.value,
            cause=reply.refusal.detail.decode('ascii', 'replace'),
            took_ms=_round_ms(took_s),
        )

    def record_unknown_database(self, database: str) -> None:
        """Log a connection attempt that named an unknown database."""
        self._write('database_unknown', self._budget, database=database)

    def record_denied_session(self, database: str) -> None:
        """Count and log a connection attempt with an unknown key."""
        self._denied_sessions.inc()
        self._write('session_denied', self._session_budget, database=database)

    def record_revoked_sessions(
        self, version: int, counts: Mapping[str, int], organisations: set[str]
    ) -> None:
        """Count and log the sessions whose key a configuration withdrew.

        Args:
            version: Version of the configuration.
            counts: Number of sessions by state.
            organisations: Names that the sessions had; empty for none.
        """
        for state, count in counts.items():
            self._revoked_sessions.labels(state).inc(count)
        log_event(
            'keys_withdrawn',
            version=version,
            organisations=sorted(organisations)[:_MAX_NAMES],
            organisation_count=len(organisations),
            **counts,
        )

    def record_revoked_transaction(self, session: Session) -> None:
        """Log a transaction that was rolled back for a withdrawn key."""
        self._write(
            'transaction_revoked',
            self._session_budget,
            database=session.database,
            organisation=session.organisation,
        )

    def record_idle_transaction(self, session: Session) -> None:
        """Log a transaction that was rolled back by the idle time-out."""
        self._write(
            'transaction_idled', self._budget, database=session.database
        )

    def record_disconnect(self, session: Session | None) -> None:
        """Log a caller that disconnected within a transaction."""
        if session is not None and session.transaction is not None:
            self._write('caller_left', self._budget, database=session.database)

    def record_unanswered(
        self, caller: Caller, cause: str, stopping_s: float | None
    ) -> None:
        """Count and log a request that its caller got no reply to.

        Args:
            caller: Connection of the caller.
            cause: What ended the connection.
            stopping_s: Time since the process began to stop; ``None`` before.
        """
        request = caller.outstanding
        stage = 'replying' if caller.is_replying else 'running'
        self._unanswered.labels(stage).inc()
        now = anyio.current_time()
        self._write(
            'request_unanswered',
            self._budget,
            request=request.request_id.decode('ascii', 'replace'),
            database=caller.session.database,
            kind=request.kind.value,
            stage=stage,
            may_have_run=caller.session.may_have_run,
            cause=cause,
            took_ms=_round_ms(now - caller.outstanding_since),
            stopping_ms=None if stopping_s is None else _round_ms(stopping_s),
        )

    def record_crash(self, session: Session | None, error: Exception) -> None:
        """Log a session that ended by an internal error of the proxy."""
        self._write(
            'session_crashed',
            self._budget,
            database='' if session is None else session.database,
            cause=repr(error),
        )

    def _write(self, event: str, budget: LineBudget, **fields: object) -> None:
        if not budget.take(anyio.current_time()):
            return
        dropped = budget.reset_dropped()
        if dropped:
            fields['lines_dropped'] = dropped
        log_event(event, **fields)


def _round_ms(duration_s: float) -> float:
    return round(duration_s * 1000, 1)
