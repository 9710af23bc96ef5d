"""One caller's session: makes its requests and records them."""

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
    read_detail,
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
_SET_ONCE = 'SET catkincrank.idempotent = off'
_RESET_KEY = 'RESET catkincrank.request_key'


@final
@dataclass(frozen=True, slots=True)
class CallerContext:
    """What all callers of a run share.

    Attributes:
        targets: Returns the proxies that the balancer offers now.
        history: Takes the records.
        tally: Takes the counts.
        take_number: Returns the next number for a request.
        deadline_s: Time that a request may take.
        started_at: Start of the run on the runtime's clock.
        seed: Seed of every draw.
    """

    targets: Callable[[], Sequence[Target]]
    history: RecordedHistory
    tally: Tally
    take_number: Callable[[], int]
    deadline_s: float
    started_at: float
    seed: int


@final
class Caller:
    """A session that moves between proxies.

    Args:
        number: Number of the session.
        service: Number of the service.
        group: Group that it works on.
        context: What all callers share.
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
        self._drawn = random.Random('{0}/{1}'.format(context.seed, number))
        self._recorder = SessionRecorder(number, context.history)
        self._connection: CallerConnection | None = None
        self._token = ''
        self._version = 0
        self._staleness = ''

    async def run(self, arrival: Arrival) -> Outcome:
        """Make a request until it has a final answer or its time is over."""
        if arrival.is_moving:
            self.close()
        if arrival.operation is not Operation.READ:
            self._version += 1
        context = self._context
        give_up_at = context.started_at + arrival.at_s + context.deadline_s
        submission = Submission(arrival, self._version)
        while anyio.current_time() < give_up_at and not submission.is_final:
            if submission.attempts:
                delay_s = _RETRY_DELAY_S * (1 + self._drawn.random())
                await anyio.sleep(delay_s)
            await self._attempt(submission, give_up_at)
        return Outcome(
            arrival,
            self._service,
            anyio.current_time() - context.started_at,
            submission.verdict,
            submission.attempts,
            submission.error,
        )

    def close(self) -> None:
        """Close the connection; the session goes on elsewhere."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._staleness = ''

    async def _attempt(
        self,
        submission: Submission,
        give_up_at: float,
    ) -> None:
        submission.attempts += 1
        connection = await self._open()
        if connection is None:
            submission.error = 'no proxy could be reached'
            return
        submission.begin(self._context.take_number)
        try:
            with anyio.fail_after(give_up_at - anyio.current_time()):
                await self._submit(connection, submission)
        except TimeoutError:
            submission.settle(Verdict.MAY_HAVE_RUN, 'no answer in time')
            self._recorder.note_cut(submission)
            self._lose_session()
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
            self._refuse(submission, read_detail(ended.detail), ended)
            self.close()
        except EndpointError as broken:
            submission.settle(
                submission.judge_cut(was_sent=broken.was_sent), str(broken)
            )
            self._recorder.note_cut(submission)
            self.close()
        except StatementError as refused:
            self._refuse(submission, read_verdict(refused), refused)
            await self._clean(connection)

    def _refuse(
        self,
        submission: Submission,
        verdict: Verdict,
        error: Exception,
    ) -> None:
        submission.settle(verdict, str(error))
        self._recorder.note_answer(submission)

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

    def _note_sent(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        """Record a request, unless the proxy has left before it is sent."""
        connection.check()
        self._recorder.note_sent(submission, connection.target.name)

    async def _read(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        age = submission.arrival.max_staleness_s
        wanted = _OWN_WRITES if age is None else '{0:g}s'.format(age)
        if wanted != self._staleness:
            await connection.execute(_SET_STALENESS.format(wanted))
            self._staleness = wanted
        self._note_sent(connection, submission)
        answer = await connection.execute(
            workload.SELECT_VERSION,
            submission.tag,
            submission.arrival.item,
        )
        echo, version = answer.rows[0]
        submission.settle(Verdict.RAN)
        self._recorder.note_answer(submission, echo or '', int(version or 0))

    async def _write(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        await connection.execute(_SET_KEY.format(submission.tag))
        await connection.execute(_SET_ONCE)
        self._note_sent(connection, submission)
        answer = await self._insert(connection, submission)
        submission.settle(Verdict.RAN)
        echo = answer.rows[0][0] or ''
        await self._take_token(connection, submission, echo)
        await connection.execute(_RESET_KEY)

    async def _transact(
        self,
        connection: CallerConnection,
        submission: Submission,
    ) -> None:
        self._note_sent(connection, submission)
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
            submission.settle(Verdict.NOT_RUN, 'rolled back')
            self._recorder.note_answer(submission)
            return
        submission.settle(Verdict.RAN)
        await self._take_token(connection, submission, submission.tag)

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

    async def _take_token(
        self,
        connection: CallerConnection,
        submission: Submission,
        echo: str,
    ) -> None:
        """Read the session's token, without which it can't go on."""
        answered_at = anyio.current_time()
        mark = None
        try:
            self._token = await connection.show(_TOKEN)
        except (EndpointError, StatementError):
            self._lose_session()
        else:
            mark = _read_mark(self._token)
        self._recorder.note_answer(submission, echo, mark=mark, at=answered_at)

    async def _clean(self, connection: CallerConnection) -> None:
        """Leave a failed transaction and its key behind."""
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
                self._drawn.choice(targets),
                self._group,
                self._token,
            )
        except EndpointError:
            self._context.tally.failed_connects += 1
            return None
        return self._connection

    def _lose_session(self) -> None:
        """Go on as a new session: the token is not known any more."""
        self.close()
        self._token = ''
        self._recorder.begin_session()


def _read_mark(token: str) -> LogMark | None:
    try:
        return decode_token(token).mark
    except OptionError:
        return None
