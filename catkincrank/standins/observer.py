"""What a stand-in instance reports to whoever records a run."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import final

__all__ = ('InstanceObserver', 'ExecutedStatement')


@final
@dataclass(frozen=True, slots=True)
class ExecutedStatement:
    """A statement that an instance has run.

    Attributes:
        endpoint: Name of the instance.
        is_primary: Whether the instance took writes at that time.
        connection: Name of the connection, unique over restarts.
        sql: Text of the statement.
        params: Its parameters in text form.
        is_open: Whether a transaction is open after it.
    """

    endpoint: str
    is_primary: bool
    connection: str
    sql: str
    params: Sequence[str | None]
    is_open: bool


class InstanceObserver:
    """Gets what instances of one group report; the base class ignores it."""

    def on_statement(self, seen: ExecutedStatement) -> None:
        """Take in that a statement has run."""

    def on_term(self, endpoint: str, term: int, position: int) -> None:
        """Take in that an instance has begun a term."""
