"""Callers' statements, independent of the protocol they arrived in."""

import enum
from dataclasses import dataclass
from typing import final

__all__ = ('Kind', 'Prepared', 'Statement')


@final
class Kind(enum.Enum):
    """What a statement does."""

    BEGIN = 'begin'
    BEGIN_READ = 'begin read'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    CLOSE = 'close'
    UNREADABLE = 'unreadable'


@final
@dataclass(frozen=True, slots=True)
class Prepared:
    """What a prepared statement runs.

    Attributes:
        is_write: Whether it writes.
        shape: Statement text without arguments, as the caller wrote it.
    """

    is_write: bool
    shape: bytes


@final
@dataclass(frozen=True, slots=True)
class Statement:
    """One statement.

    Attributes:
        kind: What it does.
        request_id: The caller's identifier of the request.
        text: The statement as the caller wrote it.
        name: Name of the session value or prepared statement it refers to.
        operand: Value to set, or arguments of an execution.
        prepared: Statement that a PREPARE defines.
    """

    kind: Kind
    request_id: bytes
    text: bytes
    name: bytes = b''
    operand: bytes = b''
    prepared: Prepared | None = None
