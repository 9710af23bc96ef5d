"""Statements and portals of pg-mimic that run one coroutine."""

from collections.abc import Awaitable, Callable
from typing import final

from pg_mimic import Portal, ResultColumn, Statement

__all__ = ('Columns', 'Row', 'Runner', 'StandinStatement')

Row = tuple[object, ...]
Columns = tuple[ResultColumn, ...] | None
Runner = Callable[[list[str | None]], Awaitable[list[Row]]]


@final
class StandinPortal(Portal):
    """A statement bound to its parameters.

    Args:
        runner: Runs the statement; called once.
        params: The parameters.
    """

    def __init__(self, runner: Runner, params: list[str | None]) -> None:
        self._runner = runner
        self._params = params
        self._rows: list[Row] | None = None

    async def execute(self, max_rows: int) -> tuple[list[Row], bool]:
        """Return up to ``max_rows`` rows and whether more remain."""
        if self._rows is None:
            self._rows = await self._runner(self._params)
        count = max_rows if max_rows > 0 else len(self._rows)
        rows = self._rows[:count]
        self._rows = self._rows[count:]
        return rows, bool(self._rows)


@final
class StandinStatement(Statement):
    """A parsed statement.

    Args:
        sql: Its text.
        runner: Runs it with its parameters.
        columns: Result columns; ``None`` when it returns no rows.
        oids: Type OIDs of its parameters.
    """

    def __init__(
        self,
        sql: str,
        runner: Runner,
        columns: Columns = None,
        oids: tuple[int, ...] = (),
    ) -> None:
        self.sql = sql
        self.param_oids = list(oids)
        self._columns = None if columns is None else list(columns)
        self._runner = runner

    async def describe(self) -> list[ResultColumn] | None:
        """Return the result columns."""
        return self._columns

    def bind(self, params: list[str | None]) -> Portal:
        """Return a portal of the statement with ``params``."""
        return StandinPortal(self._runner, params)
