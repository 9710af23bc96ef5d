"""The writing side of one session's transaction on a stand-in instance."""

from typing import final

import anyio
from pg_mimic import PgError

from catkincrank.standins.instance import StandinInstance
from catkincrank.standins.log import Change

__all__ = ('Transaction',)

_RESTARTED = '57P01'


@final
class Transaction:
    """Holds the instance's one writer from the first change to the end.

    Args:
        instance: The instance.
    """

    def __init__(self, instance: StandinInstance) -> None:
        self._instance = instance
        self._writer: anyio.Semaphore | None = None
        self._changes: list[Change] = []
        self._savepoints: list[tuple[str, int]] = []

    @property
    def is_writing(self) -> bool:
        """Whether the transaction holds the writer."""
        return self._writer is not None

    async def hold_writer(self) -> None:
        """Become the writer; waits while another transaction is.

        Raises:
            PgError: The instance takes no writes, or was restarted.
        """
        if self._writer is not None:
            return
        self._instance.check_writable()
        writer = self._instance.writer
        await writer.acquire()
        if writer is not self._instance.writer:
            writer.release()
            raise PgError(_RESTARTED, 'the instance was restarted')
        self._writer = writer
        self._instance.database.begin()

    def check_held(self) -> None:
        """Check that the writer is still held, after any wait.

        Raises:
            PgError: The session ended or the instance was restarted.
        """
        if self._writer is None or self._writer is not self._instance.writer:
            raise PgError(_RESTARTED, 'the instance was restarted')

    def add(self, change: Change) -> None:
        """Remember a change that has run in the draft."""
        self._changes.append(change)

    def commit(self) -> None:
        """Make the changes permanent.

        Raises:
            PgError: The instance no longer takes them; they are undone.
        """
        if self._writer is None:
            return
        try:
            self._check()
        except PgError:
            self.rollback()
            raise
        if self._changes:
            self._instance.commit(tuple(self._changes), anyio.current_time())
        else:
            self._instance.database.rollback()
        self._release()

    def rollback(self) -> None:
        """Undo the changes."""
        if self._writer is None:
            return
        if self._writer is self._instance.writer:
            self._instance.database.rollback()
        self._release()

    async def save(self, name: str) -> None:
        """Set a savepoint."""
        await self.hold_writer()
        self._run('SAVEPOINT {0}'.format(name))
        self._savepoints.append((name, len(self._changes)))

    def forget(self, name: str) -> None:
        """Release a savepoint."""
        if self._writer is not None:
            self._run('RELEASE {0}'.format(name))

    def rollback_to(self, name: str) -> None:
        """Undo the changes since a savepoint."""
        if self._writer is not None:
            self._run('ROLLBACK TO {0}'.format(name))
        for saved, count in reversed(self._savepoints):
            if saved == name:
                self._changes = self._changes[:count]
                break

    def _check(self) -> None:
        if self._changes:
            self._instance.check_writable()
        self.check_held()

    def _run(self, sql: str) -> None:
        self._instance.database.write(Change(sql, {}, ''))

    def _release(self) -> None:
        self._changes = []
        self._savepoints = []
        if self._writer is not None:
            self._writer.release()
        self._writer = None
