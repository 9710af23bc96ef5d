"""Write transaction of one session on a stand-in instance."""

from typing import final

import anyio
from pg_mimic import PgError

from catkincrank.standins.instance import StandinInstance
from catkincrank.standins.log import Change

__all__ = ('Transaction',)

_RESTARTED = '57P01'


@final
class Transaction:
    """Holds the instance's write lock from the first change to the end.

    An instance runs one write transaction at a time.

    Args:
        instance: The instance.
    """

    def __init__(self, instance: StandinInstance) -> None:
        self._instance = instance
        self._write_lock: anyio.Semaphore | None = None
        self._changes: list[Change] = []
        self._savepoints: list[tuple[str, int]] = []

    @property
    def is_writing(self) -> bool:
        """Whether the transaction holds the write lock."""
        return self._write_lock is not None

    async def acquire_write_lock(self) -> None:
        """Acquire the write lock; wait while another transaction holds it.

        Raises:
            PgError: The instance accepts no writes, or was restarted.
        """
        if self._write_lock is not None:
            return
        self._instance.check_writable()
        write_lock = self._instance.write_lock
        await write_lock.acquire()
        if write_lock is not self._instance.write_lock:
            write_lock.release()
            raise PgError(_RESTARTED, 'the instance was restarted')
        self._write_lock = write_lock
        self._instance.database.begin()

    def check_write_lock(self) -> None:
        """Check after a wait that the write lock is still held.

        Raises:
            PgError: The session ended or the instance was restarted.
        """
        if (
            self._write_lock is None
            or self._write_lock is not self._instance.write_lock
        ):
            raise PgError(_RESTARTED, 'the instance was restarted')

    def add(self, change: Change) -> None:
        """Add a change that has run in the draft to the transaction."""
        self._changes.append(change)

    def commit(self) -> None:
        """Commit the changes.

        Raises:
            PgError: The instance no longer accepts writes; the changes are
                rolled back.
        """
        if self._write_lock is None:
            return
        try:
            self._check_commit()
        except PgError:
            self.rollback()
            raise
        if self._changes:
            self._instance.commit(tuple(self._changes), anyio.current_time())
        else:
            self._instance.database.rollback()
        self._release()

    def rollback(self) -> None:
        """Roll back the changes."""
        if self._write_lock is None:
            return
        if self._write_lock is self._instance.write_lock:
            self._instance.database.rollback()
        self._release()

    async def set_savepoint(self, name: str) -> None:
        """Set a savepoint."""
        await self.acquire_write_lock()
        self._run('SAVEPOINT {0}'.format(name))
        self._savepoints.append((name, len(self._changes)))

    def release_savepoint(self, name: str) -> None:
        """Release a savepoint."""
        if self._write_lock is not None:
            self._run('RELEASE {0}'.format(name))

    def rollback_to(self, name: str) -> None:
        """Roll back the changes since a savepoint."""
        if self._write_lock is not None:
            self._run('ROLLBACK TO {0}'.format(name))
        for saved, count in reversed(self._savepoints):
            if saved == name:
                self._changes = self._changes[:count]
                break

    def _check_commit(self) -> None:
        if self._changes:
            self._instance.check_writable()
        self.check_write_lock()

    def _run(self, sql: str) -> None:
        self._instance.database.write(Change(sql, {}, ''))

    def _release(self) -> None:
        self._changes = []
        self._savepoints = []
        if self._write_lock is not None:
            self._write_lock.release()
        self._write_lock = None
