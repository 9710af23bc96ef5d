# flake8: noqa: WPS
# Test code: exempt from the style guide's rules like ``tests``.
"""Stand-ins for database instances: the wire, replication and promotion."""

import asyncio
import contextlib
import random
import secrets
import time
from dataclasses import dataclass, field
from typing import Any

from review.standin.store import HOST, Store

HEARTBEAT_S = 1.2
# Position of a log without entries, at the first start and at any other.
EMPTY_POSITION = (0, 0)
_QUEUED_PER_SLOT = 8
_STEP_S = 0.002
# Time within which an old primary notices the promotion of another instance.
_NOTICE_S = 1.0


@dataclass
class Commit:
    """One entry of a log.

    Attributes:
        position: Term and number.
        writes: Items written, each with the id of its request.
        request_id: Id of the COMMIT, or of the single write.
        at: When it was made, on the steady clock.
    """

    position: tuple[int, int]
    writes: list[tuple[str, str, str]]
    request_id: str
    at: float


@dataclass
class _Session:
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = 'I'
    is_read_only: bool = False
    term: int = 0
    writes: list[tuple[str, str, str]] = field(default_factory=list)


class Instance:
    """One instance.

    Attributes:
        name: Its id.
        log: Commits that it has received.
        applied: Number of entries of the log that reads see.
        is_deaf: Whether it receives nothing from the primary.
        is_draining: Whether it reports that it is about to leave.
        work_s: Mean time that a statement takes.
        lag_s: Time from a commit to its arrival.
        ran: Record of the requests that arrived.
    """

    def __init__(self, service: 'Service', name: str, zone: str) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.log: list[Commit] = []
        self.is_primary = False
        self.term = 1
        self.held_term = 1
        self.is_up = False
        self.is_deaf = False
        self.is_draining = False
        self.port = 0
        self.sequence = 0
        self.born = 0
        self.work_s = service.work_s
        self.lag_s = service.lag_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(service.slots)
        self.occupied = 0
        self._queued = 0

    @property
    def position(self) -> tuple[int, int]:
        """Position of the newest entry."""
        return self.log[-1].position if self.log else EMPTY_POSITION

    async def start(self) -> None:
        """Listen, at the same port as before if there was one, and register."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**21
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.register()

    def register(self) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        self.service.store.put(
            'servers',
            self.name,
            {
                'service': self.service.name,
                'address': '{0}:{1}'.format(HOST, self.port),
                'zone': self.zone,
                'version': 'v1',
                'slots': self.service.slots,
                'state': 'draining' if self.is_draining else 'ready',
                'cold_remaining_ms': 0,
                'seq': self.sequence,
                'db_role': 'primary' if self.is_primary else 'replica',
                'born': self.born,
            },
        )

    def crash(self) -> None:
        """Stop at once: connections are reset, nothing answers."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def restart_empty(self) -> None:
        """Start again under the same id, without anything of before."""
        self.log = []
        self.is_primary = False
        self.term = 1
        self.held_term = 0
        self.occupied = 0
        self._queued = 0
        self._slots = asyncio.Semaphore(self.service.slots)
        await self.start()

    def become(self, *, is_primary: bool, term: int) -> None:
        """Change the role and report it."""
        self.is_primary = is_primary
        self.term = term
        self.held_term = max(self.held_term, term)
        if self.is_up:
            self.register()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        errors = (OSError, asyncio.IncompleteReadError, ValueError)
        with contextlib.suppress(*errors, asyncio.CancelledError):
            await self._serve_session(reader, writer)
        self._writers.discard(writer)
        writer.transport.abort()

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        words = (await _read_line(reader)).split(' ')
        is_own = words[:2] == ['STARTUP', self.service.name]
        if not is_own or (len(words) > 3 and words[3] != self.name):
            writer.write(b'ERROR MISROUTED -\r\n')
            return
        if len(self._writers) > self.service.max_connections:
            writer.write(b'ERROR OVERLOAD -\r\n')
            return
        async with self._slots:
            await asyncio.sleep(0.012)
        session = _Session()
        writer.write('READY I {0}\r\n'.format(self._place()).encode())
        while True:
            line = await _read_line(reader)
            if line == 'TERMINATE':
                return
            _, request_id, text = line.split(' ', 2)
            if not self.is_up:
                return
            lines = await self._run(session, request_id, text)
            if not self.is_up:
                return
            lines.append('READY {0} {1}'.format(session.state, self._place()))
            writer.write(('\r\n'.join(lines) + '\r\n').encode())
            await writer.drain()

    def _place(self) -> str:
        return '{0}.{1}'.format(*self.position)

    async def _run(
        self, session: _Session, request_id: str, text: str
    ) -> list[str]:
        after: tuple[int, int] | None = None
        if text.startswith('AFTER '):
            _, place, text = text.split(' ', 2)
            term, _, number = place.partition('.')
            after = (int(term), int(number))
        word, _, rest = text.partition(' ')
        if word in {'STATUS', 'DEMOTE', 'PAUSE', 'RESUME'}:
            return await self._command(word, rest)
        if request_id != '-':
            self.service.arrivals[request_id] = (self.name, time.monotonic())
        if word in {'RESET', 'SET', 'PREPARE', 'CLOSE', 'ROLLBACK', 'BEGIN'}:
            return self._control(session, word, rest, after)
        return await self._statement(session, request_id, word, rest, after)

    async def _command(self, word: str, rest: str) -> list[str]:
        if self.occupied >= self.service.slots:
            self.service.note('{0} {1} BUSY'.format(self.name, word))
            return ['ERROR BUSY -']
        if word == 'DEMOTE' and self.is_primary and self.term < int(rest):
            self.held_term = max(self.held_term, int(rest))
            self.become(is_primary=False, term=self.term)
        state = 'ROW {0} {1} {2} {3} {4} {5} {6}'.format(
            'primary' if self.is_primary else 'replica',
            self.term,
            self._place(),
            self.held_term,
            self._lag_ms(),
            self.occupied,
            len(self._writers),
        )
        return [state, 'COMPLETE -']

    def _lag_ms(self) -> int:
        """Return for how long the oldest commit that is missing has waited."""
        missing = self.service.leader.log[len(self.log) :]
        if self.is_primary or not missing:
            return 0
        return int((time.monotonic() - missing[0].at) * 1000)

    def _control(
        self,
        session: _Session,
        word: str,
        rest: str,
        after: tuple[int, int] | None,
    ) -> list[str]:
        if word == 'RESET':
            session.values.clear()
            session.prepared.clear()
        elif word == 'SET':
            name, _, value = rest.partition(' ')
            session.values[name] = value
        elif word == 'PREPARE':
            name, mode, shape = rest.split(' ', 2)
            session.prepared[name] = (mode, shape)
        elif word == 'CLOSE':
            session.prepared.pop(rest, None)
        elif word == 'ROLLBACK':
            session.state = 'I'
            session.writes = []
        else:
            if rest != 'READ' and not self.is_primary:
                return ['ERROR READONLY {0}'.format(self.name)]
            if after is not None and self.position < after:
                return ['ERROR LAGGING {0}'.format(self.name)]
            session.state = 'T'
            session.is_read_only = rest == 'READ'
            session.term = self.term
            session.writes = []
        return ['COMPLETE -']

    async def _statement(
        self,
        session: _Session,
        request_id: str,
        word: str,
        rest: str,
        after: tuple[int, int] | None,
    ) -> list[str]:
        if session.state == 'E':
            return ['ERROR MALFORMED -']
        if self._queued >= self.service.slots * _QUEUED_PER_SLOT:
            return self._refuse(session, 'BUSY')
        self._queued += 1
        try:
            async with self._slots:
                self.occupied += 1
                try:
                    return await self._work(
                        session, request_id, word, rest, after
                    )
                finally:
                    self.occupied -= 1
        finally:
            self._queued -= 1

    async def _work(
        self,
        session: _Session,
        request_id: str,
        word: str,
        rest: str,
        after: tuple[int, int] | None,
    ) -> list[str]:
        if after is not None and self.position < after:
            return self._refuse(session, 'LAGGING')
        is_write = word == 'WRITE'
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in session.prepared:
                return self._refuse(session, 'UNKNOWN')
            is_write = session.prepared[name][0] == 'WRITE'
        is_plain = session.state == 'T' and not session.is_read_only
        has_lost = is_plain and not (
            self.is_primary and self.term == session.term
        )
        if word == 'COMMIT' and not session.writes:
            has_lost = False
        if has_lost or (is_write and not self.is_primary):
            return self._refuse(session, 'READONLY')
        await asyncio.sleep(self.work_s * random.uniform(0.6, 1.4))
        if not self.is_up:
            return ['ERROR FAILED -']
        self.service.runs.append((request_id, self.name, time.monotonic()))
        self.service.observe(self, session, request_id)
        signature = 'COMPLETE {0}.{1}'.format(self.name, secrets.token_hex(8))
        if is_write:
            item, _, content = rest.partition(' ')
            session.writes.append((request_id, item, content))
            if session.state == 'I' and not await self._commit(
                session, request_id
            ):
                return ['ERROR FAILED -']
            return [signature]
        if word == 'COMMIT':
            session.state = 'I'
            if session.writes and not await self._commit(session, request_id):
                return ['ERROR FAILED -']
            return [signature]
        return ['ROW {0}'.format(secrets.token_hex(4)), signature]

    async def _commit(self, session: _Session, request_id: str) -> bool:
        """Append to the log; wait for a replica if the service wants it."""
        number = self.position[1] + 1
        commit = Commit(
            (self.term, number), session.writes, request_id, time.monotonic()
        )
        session.writes = []
        if not self.is_primary:
            return False
        self.log.append(commit)
        if not self.service.sync_replicas:
            return True
        others = [one for one in self.service.instances if one is not self]
        while self.is_up:
            if any(commit in one.log[number - 1 : number] for one in others):
                return True
            await asyncio.sleep(_STEP_S)
        return False

    def _refuse(self, session: _Session, code: str) -> list[str]:
        if session.state == 'T' and code != 'BUSY':
            session.state = 'E'
        return ['ERROR {0} {1}'.format(code, self.name)]


class Service:
    """Instances of one service, with replication.

    Attributes:
        acknowledged_loss: Filled by cases.
    """

    def __init__(self, store: Store, name: str, **figures: Any) -> None:
        self.store = store
        self.name = name
        self.slots: int = figures.get('slots', 3)
        self.max_connections: int = figures.get('max_connections', 23)
        self.work_s: float = figures.get('work_s', 0.018)
        self.lag_s: float = figures.get('lag_s', 0.008)
        self.sync_replicas: int = figures.get('sync_replicas', 0)
        self.promote_s: float = figures.get('promote_s', 0.3)
        self.runs: list[tuple[str, str, float]] = []
        self.arrivals: dict[str, tuple[str, float]] = {}
        self.events: list[tuple[float, str]] = []
        self.promotions: list[tuple[float, str, int, list[Commit]]] = []
        zones = ('zone-a', 'zone-b', 'zone-c')
        self.instances = [
            Instance(self, '{0}-i{1}'.format(name, number + 1), zone)
            for number, zone in enumerate(zones)
        ]
        self.instances[0].is_primary = True
        self.leader = self.instances[0]
        self.term = 1

    def note(self, text: str) -> None:
        """Record an event."""
        self.events.append((time.monotonic(), text))

    async def start(self) -> None:
        """Start all instances."""
        for instance in self.instances:
            await instance.start()

    def observe(
        self, instance: Instance, session: '_Session', request_id: str
    ) -> None:
        """Check a statement that an instance runs; for cases."""

    def find(self, name: str) -> Instance | None:
        """Return an instance by its id."""
        return next((one for one in self.instances if one.name == name), None)

    async def run(self) -> None:
        """Replicate, and remove entries of instances that are silent."""
        silent_since: dict[str, float] = {}
        while True:
            await asyncio.sleep(_STEP_S)
            now = time.monotonic()
            self._replicate(now)
            for one in self.instances:
                if one.is_up:
                    silent_since.pop(one.name, None)
                    continue
                since = silent_since.setdefault(one.name, now)
                key = ('servers', '', one.name)
                if now > since + 3 * HEARTBEAT_S and key in self.store.rows:
                    self.store.remove('servers', one.name)

    def _replicate(self, now: float) -> None:
        source = self.leader
        if not (source.is_up and source.is_primary):
            return
        for one in self.instances:
            if one is source or one.is_deaf or not one.is_up or one.is_primary:
                continue
            if one.term != source.term:
                one.log = _common(one.log, source.log)
                one.term = source.term
                one.held_term = max(one.held_term, source.term)
            for commit in source.log[len(one.log) :]:
                if commit.at > now - one.lag_s:
                    break
                one.log.append(commit)

    async def promote(
        self, service: str, name: str, holder: str, token: int
    ) -> int:
        """Make an instance the primary of the next term."""
        chosen = self.find(name)
        self.note('promote {0} by {1} token {2}'.format(name, holder, token))
        if chosen is None or not chosen.is_up:
            return 409
        if chosen is self.leader:
            return 200
        await asyncio.sleep(self.promote_s)
        if not chosen.is_up:
            return 409
        self.leader = chosen
        chosen.is_deaf = False
        self.term += 1
        chosen.become(is_primary=True, term=self.term)
        now = time.monotonic()
        self.promotions.append((now, name, chosen.term, list(chosen.log)))
        self.note('{0} leads term {1}'.format(name, chosen.term))
        asyncio.get_running_loop().call_later(_NOTICE_S, self._step_down)
        return 200

    def _step_down(self) -> None:
        for one in self.instances:
            if one.is_up and one.is_primary and one is not self.leader:
                one.become(is_primary=False, term=one.term)


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b'\r\n'))[:-2].decode()


def _common(log: list[Commit], other: list[Commit]) -> list[Commit]:
    count = 0
    for one, two in zip(log, other):
        if one is not two:
            break
        count += 1
    return log[:count]
