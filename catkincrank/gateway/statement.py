"""Statements of callers, decoded from whatever protocol they speak."""

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
        shape: Its shape, as the caller wrote it.
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
        name: Name of the value or prepared statement that it is about.
        operand: Value to set, or arguments of an execution.
        prepared: What a PREPARE defines.
    """

    kind: Kind
    request_id: bytes
    text: bytes
    name: bytes = b''
    operand: bytes = b''
    prepared: Prepared | None = None
