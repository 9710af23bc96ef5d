"""Callers of a soak, which read, write and run transactions."""

import itertools
import random
from collections.abc import Callable, Sequence
from typing import final

import anyio
from anyio.abc import SocketStream

from benchmarks.soak.history import Attempt, Cut, History, Outcome
from benchmarks.soak.program import Program
from catkincrank.gateway.callers import DISCONNECT_ERRORS
from catkincrank.platform.lines import LineReader
from catkincrank.platform.trial import ROUTES

__all__ = ('Caller',)

_HOST = '127.0.0.1'
_ID_BITS = 64
_ANSWER_TIMEOUT_S = 4
_MAX_PAUSE_S = 0.05
_RECONNECT_DELAY_S = 0.1
_SET_SHARE = 0.5
_SESSION_END_SHARE = 0.03
# One caller of this many never pauses, and keeps each session until the gateway
# ends it.
_CALLERS_PER_BUSY = 8
_DISCONNECT_SHARE = 0.01
_COMMIT_SHARE = 0.8
_READ_ONLY_SHARE = 0.3
_MAX_STATEMENTS = 3
_FAILURES = (*DISCONNECT_ERRORS, OSError, TimeoutError)
_NOT_RUN_CODES = frozenset(
    (b'BUSY', b'ABORTED', b'LAGGING', b'READONLY', b'MISROUTED', b'OVERLOAD'),
)
_READ = b'READ k'
_WRITE = b'WRITE k v'
# Relative frequencies of the operations of a session.
_OPERATION_WEIGHTS = {'read': 5, 'write': 2, 'execute': 1, 'transaction': 2}  # noqa: WPS407


@final
class Caller:
    """A caller that opens one session after another.

    Args:
        number: Number of the caller.
        seed: Seed of its random choices.
        programs: The gateways.
        history: Records its requests and their outcomes.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        programs: Sequence[Program],
        history: History,
    ) -> None:
        self._sessions = itertools.count(number, 1000)
        self._is_busy = number % _CALLERS_PER_BUSY == 0
        self._random = random.Random(seed * 1000 + number)
        self._programs = programs
        self._history = history

    async def run(self) -> None:
        """Open sessions until cancelled."""
        while True:
            program = self._random.choice(self._programs)
            if program.is_open:
                await self._connect(program)
            await anyio.sleep(_RECONNECT_DELAY_S)

    async def _connect(self, program: Program) -> None:
        name = (program.name, program.incarnation)
        try:
            stream = await anyio.connect_tcp(_HOST, program.port)
        except OSError:
            return
        session = _Session(
            next(self._sessions),
            stream,
            name,
            self._random,
            self._history,
            is_busy=self._is_busy,
        )
        try:
            await session.run_operations()
        except _FAILURES:
            session.record_cut()
        finally:
            await anyio.aclose_forcefully(stream)


@final
class _Session:  # noqa: WPS230
    def __init__(
        self,
        number: int,
        stream: SocketStream,
        program: tuple[str, int],
        source: random.Random,
        history: History,
        *,
        is_busy: bool,
    ) -> None:
        self._number = number
        self._stream = stream
        self._reader = LineReader(stream)
        self._program = program
        self._random = source
        self._history = history
        self._database = source.choice(tuple(ROUTES))
        self._values: dict[bytes, bytes] = {}
        self._transactions = itertools.count(1)
        self._transaction = 0
        self._began_at: float = 0
        self._open: Attempt | None = None
        self._is_busy = is_busy

    async def run_operations(self) -> None:
        """Run operations until the session ends."""
        startup = 'STARTUP {0} caller\r\n'.format(self._database)
        with anyio.fail_after(_ANSWER_TIMEOUT_S):
            await self._stream.send(startup.encode('ascii'))
            if not (await self._reader.read()).startswith(b'READY'):
                return
        if self._random.random() < _SET_SHARE:
            await self._set_value()
        while self._random.random() > _SESSION_END_SHARE or self._is_busy:
            kinds = tuple(_OPERATION_WEIGHTS)
            weights = tuple(_OPERATION_WEIGHTS.values())
            kind = self._random.choices(kinds, weights)[0]
            await _OPERATIONS[kind](self)
            await self._pause()

    def record_cut(self) -> None:
        """Record the open request, which got no complete answer."""
        if self._open is not None:
            self._history.cuts.append(Cut(self._open, anyio.current_time()))

    async def read(self) -> None:
        """Send a read."""
        await self._send_request(_READ)

    async def write(self) -> None:
        """Send a write."""
        await self._send_request(_WRITE)

    async def execute(self) -> None:
        """Prepare a read, run it and close it."""
        if await self._send_request(b'PREPARE p READ select'):
            await self._send_request(b'EXECUTE p 1')
            await self._send_request(b'CLOSE p')

    async def transact(self) -> None:
        """Run a transaction."""
        is_read_only = self._random.random() < _READ_ONLY_SHARE
        self._began_at = anyio.current_time()
        self._transaction = next(self._transactions)
        try:  # noqa: WPS501
            await self._transact(is_read_only=is_read_only)
        finally:
            self._transaction = 0

    async def _transact(self, *, is_read_only: bool) -> None:
        begin = b'BEGIN READ' if is_read_only else b'BEGIN'
        if not await self._send_request(begin):
            return
        statements = (_READ,) if is_read_only else (_READ, _WRITE)
        for _ in range(self._random.randint(1, _MAX_STATEMENTS)):
            if not await self._send_request(self._random.choice(statements)):  # noqa: WPS476
                await self._send_request(b'ROLLBACK')  # noqa: WPS476
                return
            await self._pause()  # noqa: WPS476
        is_commit = self._random.random() < _COMMIT_SHARE
        await self._send_request(b'COMMIT' if is_commit else b'ROLLBACK')

    async def _pause(self) -> None:
        pause_s = self._random.uniform(0, _MAX_PAUSE_S)
        if not self._is_busy:
            await anyio.sleep(pause_s)

    async def _set_value(self) -> None:
        chosen = b'%d' % self._number
        if await self._send_request(b'SET zone %b' % chosen):
            self._values[b'zone'] = chosen

    async def _send_request(self, text: bytes) -> bool:
        """Send a request; return whether it succeeded."""
        now = anyio.current_time()
        attempt = Attempt(
            b'%016x' % self._random.getrandbits(_ID_BITS),
            self._number,
            ROUTES[self._database],
            text,
            now,
            self._began_at if self._transaction else now,
            self._transaction,
            dict(self._values),
            self._program,
        )
        self._history.attempts[attempt.request_id] = attempt
        await self._stream.send(
            b'QUERY %b %b\r\n' % (attempt.request_id, text),
        )
        if self._random.random() < _DISCONNECT_SHARE and not self._is_busy:
            raise anyio.ClosedResourceError
        self._open = attempt
        with anyio.move_on_after(_ANSWER_TIMEOUT_S):
            await self._read_answer(attempt)
            self._open = None
            return attempt.outcome is Outcome.DONE
        self._open = None
        raise anyio.ClosedResourceError

    async def _read_answer(self, attempt: Attempt) -> None:
        answer = await self._reader.read()
        while answer.startswith(b'ROW'):
            attempt.rows += 1
            answer = await self._reader.read()
        await self._reader.read()
        attempt.answered_at = anyio.current_time()
        attempt.outcome = _classify_answer(answer)


def _classify_answer(answer: bytes) -> Outcome:
    status, _, rest = answer.partition(b' ')
    if status == b'COMPLETE':
        return Outcome.DONE
    is_not_run = rest.split(b' ', 1)[0] in _NOT_RUN_CODES
    return Outcome.NOT_RUN if is_not_run else Outcome.IN_DOUBT


_Operation = Callable[[_Session], object]
_OPERATIONS = {  # noqa: WPS407
    'read': _Session.read,
    'write': _Session.write,
    'execute': _Session.execute,
    'transaction': _Session.transact,
}
