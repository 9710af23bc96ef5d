"""Interface by which stand-in instances report statements and terms."""

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
        is_primary: Whether the instance was a primary at that time.
        connection: Name of the connection, unique across restarts.
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
    """Observer of the instances of one group; this one ignores all."""

    def on_statement(self, seen: ExecutedStatement) -> None:
        """Handle a statement that has run."""

    def on_term(self, endpoint: str, term: int, position: int) -> None:
        """Handle the start of a term at an instance."""
