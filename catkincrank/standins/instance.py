"""State of one stand-in instance: its log, its role and its seal.

It behaves as a PostgreSQL instance does towards the driver.
docs/design-endpoints.md lists what a real one can't do by SQL alone.
"""

from dataclasses import dataclass, field
from typing import final

import anyio
from pg_mimic import PgError

from catkincrank.endpoints.conninfo import Upstream, parse_upstream
from catkincrank.instance import Role
from catkincrank.standins.database import Database
from catkincrank.standins.log import Change, Log, Record
from catkincrank.standins.observer import InstanceObserver

__all__ = ('InstanceOptions', 'StandinInstance')

_READ_ONLY = '25006'
_NOT_IN_RECOVERY = '55000'


@final
@dataclass(frozen=True, slots=True)
class InstanceOptions:
    """Limits and delays of an instance.

    Attributes:
        slots: Number of statements that run at once.
        connections: Highest number of connections.
        connect_s: Time from a connection attempt to its acceptance.
        statement_s: Execution time of each statement.
        user: Name of the user that may log in.
        password: Password of the user; empty for none.
        observer: Is notified of statements and terms.
    """

    slots: int = 3
    connections: int = 20
    connect_s: float = 0.01
    statement_s: float = 0
    user: str = 'catkincrank'
    password: str = ''
    observer: InstanceObserver = field(default_factory=InstanceObserver)

    def __repr__(self) -> str:
        return 'InstanceOptions(slots={0}, connections={1})'.format(
            self.slots,
            self.connections,
        )


@final
class StandinInstance:
    """One instance of a group.

    Args:
        name: Name of the endpoint.
        options: Limits and delays.
    """

    def __init__(self, name: str, options: InstanceOptions) -> None:
        self.name = name
        self.options = options
        self.role = Role.REPLICA
        self.log = Log()
        self.database = Database()
        self.replayed = 0
        self.conninfo = ''
        self.is_read_only = False
        self._is_alive = False
        self.write_lock = anyio.Semaphore(1)
        self.advisory_lock = anyio.Semaphore(1)
        self.slots = anyio.Semaphore(options.slots)
        self.changed = anyio.Event()
        self._start_count = 0
        self._running = anyio.Event()
        self._running.set()

    @property
    def incarnation(self) -> str:
        """Identifier that changes at each restart and rebuild."""
        return '{0}-{1}'.format(self.name, self._start_count)

    @property
    def upstream(self) -> Upstream | None:
        """The ballot that the instance is sealed to and its primary."""
        return parse_upstream(self.conninfo)

    @property
    def follows(self) -> str:
        """Name of the other endpoint to stream from; empty when none."""
        upstream = self.upstream
        if upstream is None or upstream.primary is None:
            return ''
        followed = upstream.primary.endpoint
        return '' if followed == self.name else followed

    @property
    def is_serving(self) -> bool:
        """Whether the instance is started and not frozen."""
        return self._is_alive and self._running.is_set()

    def start(self) -> None:
        """Begin a new incarnation."""
        self._start_count += 1
        self._is_alive = True
        self.write_lock = anyio.Semaphore(1)
        self.advisory_lock = anyio.Semaphore(1)
        self.slots = anyio.Semaphore(self.options.slots)
        self.database.discard_draft()
        self.notify()

    def stop(self, *, keep_state: bool = True) -> None:
        """End the incarnation; discard the data unless they are kept."""
        self._is_alive = False
        if keep_state:
            return
        self.log = Log()
        self.database = Database()
        self.replayed = 0
        self.conninfo = ''
        self.is_read_only = False
        self.role = Role.REPLICA

    def freeze(self) -> None:
        """Stop answering; connections stay open."""
        self._running = anyio.Event()

    def resume(self) -> None:
        """End a freeze."""
        self._running.set()
        self.notify()

    async def wait_running(self) -> None:
        """Wait while the instance is frozen."""
        if not self._running.is_set():
            await self._running.wait()

    def notify(self) -> None:
        """Wake the tasks that wait for a change of this instance."""
        changed = self.changed
        self.changed = anyio.Event()
        changed.set()

    def check_writable(self) -> None:
        """Reject a write unless this is a primary that accepts writes.

        Raises:
            PgError: The instance is a replica or read-only by a seal.
        """
        if self.role is Role.REPLICA or self.is_read_only:
            raise PgError(
                _READ_ONLY,
                'cannot execute statement in a read-only transaction',
            )

    def commit(self, changes: tuple[Change, ...], now: float) -> Record:
        """Append the open transaction to the log and make it visible."""
        record = self.log.append(changes, now)
        self.database.commit(record)
        self.replayed = record.end
        self.notify()
        return record

    def replay(self, record: Record) -> None:
        """Apply a received record, which makes it visible."""
        self.database.replay(record)
        self.replayed = record.end

    def promote(self) -> None:
        """Become primary; begin the sealed term, or at least the next one.

        Raises:
            PgError: The instance is not a replica.
        """
        if self.role is Role.PRIMARY:
            raise PgError(_NOT_IN_RECOVERY, 'recovery is not in progress')
        for record in self.log.list_after(self.replayed):
            self.replay(record)
        upstream = self.upstream
        sealed_term = upstream.ballot.term if upstream else 0
        self.log.begin_term(max(self.log.history.term + 1, sealed_term))
        self.role = Role.PRIMARY
        self.options.observer.on_term(
            self.name,
            self.log.history.term,
            self.log.end,
        )
        self.notify()

    def rebuild(self, source: 'StandinInstance') -> None:
        """Become a replica with a copy of ``source``; a new incarnation."""
        self.role = Role.REPLICA
        self.log = source.log.copy()
        self.database = source.database.copy()
        self.replayed = source.replayed
        self.start()
