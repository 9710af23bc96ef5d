"""Session of one caller: makes requests and records their outcome."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import final

import anyio

from catkincrank.endpoint import Answer, StatementError
from catkincrank.endpoints.libpq import SessionEndedError
from catkincrank.errors import EndpointError, OptionError
from catkincrank.history import LogMark
from catkincrank.load import workload
from catkincrank.load.connection import (
    CallerConnection,
    Target,
    parse_verdict,
    read_verdict,
)
from catkincrank.load.outcome import Outcome, Tally
from catkincrank.load.recorder import SessionRecorder
from catkincrank.load.schedule import Arrival, Operation
from catkincrank.load.submission import Submission
from catkincrank.records import RecordedHistory
from catkincrank.tokens import decode_token
from catkincrank.verdict import Verdict

__all__ = ('Caller', 'CallerContext')

_RETRY_DELAY_S = 0.1
_AMOUNT = '1500'
_TOKEN = 'catkincrank.session'
_OWN_WRITES = 'own_writes'
_SET_STALENESS = "SET catkincrank.max_staleness = '{0}'"
_SET_KEY = "SET catkincrank.request_key = '{0}'"
_SET_NOT_IDEMPOTENT = 'SET catkincrank.idempotent = off'
_RESET_KEY = 'RESET catkincrank.request_key'


@final
@dataclass(frozen=True, slots=True)
class CallerContext:
    """State shared by all callers of a run.

    Attributes:
        targets: Returns the proxies that the load balancer offers now.
        history: Receives the records.
        tally: Receives the counts.
        next_number: Returns the next request number.
        deadline_s: Time limit of a request, from its arrival.
        started_at: Start of the run on the clock of the event loop.
        seed: Seed of the random number generators.
    """

    targets: Callable[[], Sequence[Target]]
    history: RecordedHistory
    tally: Tally
    next_number: Callable[[], int]
    deadline_s: float
    started_at: float
    seed: int


@final
class Caller:
    """A session that moves between proxies.

    Args:
        number: Number of the session.
        service: Number of the service.
        group: Group that the session uses.
        context: State shared by all callers.
    """

    def __init__(
        self,
        number: int,
        service: int,
        group: str,
        context: CallerContext,
    ) -> None:
        self._service = service
        self._group = group
        self._context = context
        self._rng = random.Random('{0}/{1}'.format(context.seed, number))
        self._recorder = SessionRecorder(number, context.history)
        self._connection: CallerConnection | None = None
        self._token = ''
        self._version = 0
        self._staleness = ''

    async def run(self, arrival: Arrival) -> Outcome:
        """Retry a request until it has a final answer or its deadline."""
        if arrival.is_moving:
            self.close()
        if arrival.operation is not Operation.READ:
            self._version += 1
        context = self._context
        deadline_at = context.started_at + arrival.at_s + context.deadline_s
        submission = Submission(arrival, self._version)
        while anyio.current_time() < deadline_at and not submission.is_final:
            if submission.attempts:
                delay_s = _RETRY_DELAY_S * (1 + self._rng.random())
                await anyio.sleep(delay_s)
            await self._attempt(submission, deadline_at)
        return Outcome(
            arrival,
            self._service,
            anyio.current_time() - context.started_at,
            submission.verdict,
            submission.attempts,
            submission.error,
        )

    def close(self) -> None:
        """Close the connection; the session may continue on another one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._staleness = ''

    async def _attempt(
        self,
        submission: Submission,
        deadline_at: float,
    ) -> None:
        submission.attempts += 1
        connection = await self._open()
        if connection is None:
            submission.error = 'no proxy reachable'
            return
        submission.begin(self._context.next_number)
        try:
            with anyio.fail_after(deadline_at - anyio.current_time()):
                await self._submit(connection, submission)
        except TimeoutError:
            submission.set_result(
                Verdict.MAY_HAVE_RUN, 'no answer by the deadline'
            )
            self._recorder.record_disconnect(submission)
            self._start_new_session()
        if submission.is_recorded:
            self._context.tally.count_answer(
                submission.verdict,
                submission.error,
            )

    async def _submit(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        try:
            await self._perform(connection, submission)
        except SessionEndedError as ended:
            self._record_error(submission, parse_verdict(ended.detail), ended)
            self.close()
        except EndpointError as broken:
            submission.set_result(
                submission.verdict_after_disconnect(was_sent=broken.was_sent),
                str(broken),
            )
            self._recorder.record_disconnect(submission)
            self.close()
        except StatementError as refused:
            self._record_error(submission, read_verdict(refused), refused)
            await self._roll_back(connection)

    def _record_error(
        self,
        submission: Submission,
        verdict: Verdict,
        error: Exception,
    ) -> None:
        submission.set_result(verdict, str(error))
        self._recorder.record_answer(submission)

    async def _perform(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        operation = submission.arrival.operation
        if operation is Operation.READ:
            await self._read(connection, submission)
        elif operation is Operation.WRITE:
            await self._write(connection, submission)
        else:
            await self._transact(connection, submission)

    def _record_sent(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        """Record a request, unless the proxy has closed the connection."""
        connection.check()
        self._recorder.record_sent(submission, connection.target.name)

    async def _read(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        age = submission.arrival.max_staleness_s
        staleness = _OWN_WRITES if age is None else '{0:g}s'.format(age)
        if staleness != self._staleness:
            await connection.execute(_SET_STALENESS.format(staleness))
            self._staleness = staleness
        self._record_sent(connection, submission)
        answer = await connection.execute(
            workload.SELECT_VERSION,
            submission.tag,
            submission.arrival.item,
        )
        echo, version = answer.rows[0]
        submission.set_result(Verdict.RAN)
        self._recorder.record_answer(submission, echo or '', int(version or 0))

    async def _write(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        await connection.execute(_SET_KEY.format(submission.tag))
        await connection.execute(_SET_NOT_IDEMPOTENT)
        self._record_sent(connection, submission)
        answer = await self._insert(connection, submission)
        submission.set_result(Verdict.RAN)
        echo = answer.rows[0][0] or ''
        await self._fetch_token(connection, submission, echo)
        await connection.execute(_RESET_KEY)

    async def _transact(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        self._record_sent(connection, submission)
        await connection.execute('BEGIN')
        await self._insert(connection, submission)
        await connection.execute(
            workload.INSERT_RECEIPT,
            submission.tag,
            _AMOUNT,
        )
        submission.is_committing = True
        answer = await connection.execute('COMMIT')
        if answer.command == 'ROLLBACK':
            submission.set_result(Verdict.NOT_RUN, 'rolled back')
            self._recorder.record_answer(submission)
            return
        submission.set_result(Verdict.RAN)
        await self._fetch_token(connection, submission, submission.tag)

    async def _insert(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> Answer:
        return await connection.execute(
            workload.INSERT_PAYMENT,
            submission.tag,
            submission.arrival.item,
            str(submission.version),
            _AMOUNT,
        )

    async def _fetch_token(
        self,
        connection: CallerConnection,
        submission: Submission,
        echo: str,
    ) -> None:
        """Read the session token; without it, start a new session."""
        answered_at = anyio.current_time()
        mark = None
        try:
            self._token = await connection.show(_TOKEN)
        except (EndpointError, StatementError):
            self._start_new_session()
        else:
            mark = _parse_mark(self._token)
        self._recorder.record_answer(
            submission, echo, mark=mark, at=answered_at
        )

    async def _roll_back(self, connection: CallerConnection) -> None:
        """Roll back a failed transaction and reset the request key."""
        try:
            await connection.execute('ROLLBACK')
            await connection.execute(_RESET_KEY)
        except (EndpointError, StatementError):
            self.close()

    async def _open(self) -> CallerConnection | None:
        if self._connection is not None and self._connection.is_usable():
            return self._connection
        self.close()
        targets = self._context.targets()
        if not targets:
            return None
        self._context.tally.connects += 1
        try:
            self._connection = await CallerConnection.open(
                self._rng.choice(targets),
                self._group,
                self._token,
            )
        except EndpointError:
            self._context.tally.failed_connects += 1
            return None
        return self._connection

    def _start_new_session(self) -> None:
        """Continue as a new session because the token is lost."""
        self.close()
        self._token = ''
        self._recorder.begin_session()


def _parse_mark(token: str) -> LogMark | None:
    try:
        return decode_token(token).mark
    except OptionError:
        return None
