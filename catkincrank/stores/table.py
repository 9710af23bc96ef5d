"""Semantics of the platform's service, without I/O."""

from typing import final

from catkincrank.errors import ConflictError
from catkincrank.store import ABSENT, Row, VirtualMachine

__all__ = ('Table',)

_MAX_SCAN_ROWS = 1000


@final
class Table:
    """Versioned rows, objects and the VM list."""

    def __init__(self) -> None:
        self.machines: list[VirtualMachine] = []
        self._rows: dict[str, Row] = {}
        self._object_bodies: dict[str, bytes] = {}

    def read(self, key: str) -> Row | None:
        """Return the row at ``key``, or ``None``."""
        return self._rows.get(key)

    def scan(self, prefix: str, after_key: str = '') -> list[Row]:
        """Return rows whose keys begin with ``prefix``, in key order."""
        keys = sorted(
            key
            for key in self._rows
            if key.startswith(prefix) and key > after_key
        )
        return [self._rows[key] for key in keys[:_MAX_SCAN_ROWS]]

    def write(
        self,
        key: str,
        body: bytes,
        expected_version: int,
        change_id: str,
    ) -> Row:
        """Write a row if its version is still ``expected_version``.

        Raises:
            ConflictError: The row has another version.
        """
        stored = self._rows.get(key)
        if stored is not None and stored.change_id == change_id:
            return stored
        found = stored.version if stored else ABSENT
        if found != expected_version:
            raise ConflictError(key, expected_version, found)
        row = Row(key, found + 1, body, change_id)
        self._rows[key] = row
        return row

    def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        self._object_bodies[name] = body

    def get_object(self, name: str) -> bytes | None:
        """Return an object's bytes, or ``None``."""
        return self._object_bodies.get(name)
