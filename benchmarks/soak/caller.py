"""Callers of a soak: sessions that read, write and run transactions."""

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
_PATIENCE_S = 4
_PAUSE_S = 0.05
_RECONNECT_S = 0.1
_SET_SHARE = 0.5
_LEAVE_SHARE = 0.03
_GIVE_UP_SHARE = 0.01
_COMMIT_SHARE = 0.8
_READ_ONLY_SHARE = 0.3
_MAX_STATEMENTS = 3
_FAILURES = (*DISCONNECT_ERRORS, OSError, TimeoutError)
_PROMISES = frozenset(
    (b'BUSY', b'ABORTED', b'LAGGING', b'READONLY', b'MISROUTED', b'OVERLOAD'),
)
_READ = b'READ k'
_WRITE = b'WRITE k v'
# Statements outside transactions, with their weights.
_SINGLES = {'read': 5, 'write': 2, 'execute': 1, 'transaction': 2}  # noqa: WPS407


@final
class Caller:
    """One caller, with one session after another.

    Args:
        number: Its number.
        seed: Seed of what it does.
        programs: Gateways.
        history: Where it notes what it saw.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        programs: Sequence[Program],
        history: History,
    ) -> None:
        self._sessions = itertools.count(number, 1000)
        self._source = random.Random(seed * 1000 + number)
        self._programs = programs
        self._history = history

    async def run(self) -> None:
        """Use one session after another until cancelled."""
        while True:
            program = self._source.choice(self._programs)
            if program.is_open:
                await self._connect(program)
            await anyio.sleep(_RECONNECT_S)

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
            self._source,
            self._history,
        )
        try:
            await session.use()
        except _FAILURES:
            session.note_cut()
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
    ) -> None:
        self._number = number
        self._stream = stream
        self._reader = LineReader(stream)
        self._program = program
        self._source = source
        self._history = history
        self._database = source.choice(tuple(ROUTES))
        self._values: dict[bytes, bytes] = {}
        self._transactions = itertools.count(1)
        self._transaction = 0
        self._began_at: float = 0
        self._open: Attempt | None = None

    async def use(self) -> None:
        """Send one operation after another, until it leaves."""
        startup = 'STARTUP {0} caller\r\n'.format(self._database)
        with anyio.fail_after(_PATIENCE_S):
            await self._stream.send(startup.encode('ascii'))
            if not (await self._reader.read()).startswith(b'READY'):
                return
        if self._source.random() < _SET_SHARE:
            await self._set_value()
        while self._source.random() > _LEAVE_SHARE:
            kinds = tuple(_SINGLES)
            weights = tuple(_SINGLES.values())
            kind = self._source.choices(kinds, weights)[0]
            await _OPERATIONS[kind](self)
            await self._pause()

    def note_cut(self) -> None:
        """Note the request that got no whole answer."""
        if self._open is not None:
            self._history.cuts.append(Cut(self._open, anyio.current_time()))

    async def read(self) -> None:
        """Send a read."""
        await self._ask(_READ)

    async def write(self) -> None:
        """Send a write."""
        await self._ask(_WRITE)

    async def execute(self) -> None:
        """Prepare a read, run it and close it."""
        if await self._ask(b'PREPARE p READ select'):
            await self._ask(b'EXECUTE p 1')
            await self._ask(b'CLOSE p')

    async def transact(self) -> None:
        """Run a transaction."""
        is_read_only = self._source.random() < _READ_ONLY_SHARE
        self._began_at = anyio.current_time()
        self._transaction = next(self._transactions)
        try:  # noqa: WPS501
            await self._transact(is_read_only=is_read_only)
        finally:
            self._transaction = 0

    async def _transact(self, *, is_read_only: bool) -> None:
        begin = b'BEGIN READ' if is_read_only else b'BEGIN'
        if not await self._ask(begin):
            return
        texts = (_READ,) if is_read_only else (_READ, _WRITE)
        for _ in range(self._source.randint(1, _MAX_STATEMENTS)):
            if not await self._ask(self._source.choice(texts)):  # noqa: WPS476
                await self._ask(b'ROLLBACK')  # noqa: WPS476
                return
            await self._pause()  # noqa: WPS476
        is_kept = self._source.random() < _COMMIT_SHARE
        await self._ask(b'COMMIT' if is_kept else b'ROLLBACK')

    async def _pause(self) -> None:
        await anyio.sleep(self._source.uniform(0, _PAUSE_S))

    async def _set_value(self) -> None:
        chosen = b'%d' % self._number
        if await self._ask(b'SET zone %b' % chosen):
            self._values[b'zone'] = chosen

    async def _ask(self, text: bytes) -> bool:
        """Send a request; return whether it succeeded."""
        now = anyio.current_time()
        attempt = Attempt(
            b'%016x' % self._source.getrandbits(_ID_BITS),
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
        if self._source.random() < _GIVE_UP_SHARE:
            raise anyio.ClosedResourceError
        self._open = attempt
        with anyio.move_on_after(_PATIENCE_S):
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
        attempt.outcome = _judge(answer)


def _judge(answer: bytes) -> Outcome:
    word, _, rest = answer.partition(b' ')
    if word == b'COMPLETE':
        return Outcome.DONE
    is_promise = rest.split(b' ', 1)[0] in _PROMISES
    return Outcome.NOT_RUN if is_promise else Outcome.IN_DOUBT


_Operation = Callable[[_Session], object]
_OPERATIONS = {  # noqa: WPS407
    'read': _Session.read,
    'write': _Session.write,
    'execute': _Session.execute,
    'transaction': _Session.transact,
}
