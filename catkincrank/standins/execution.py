"""Runs a session's statements and keeps its transaction state."""

from datetime import UTC, datetime
from typing import Any, Final, final

import anyio
from pg_mimic import Statement
from pg_mimic.types import TEXT

from catkincrank.instance import Role
from catkincrank.registry import Registry
from catkincrank.standins.dialect import StatementKind, Translation
from catkincrank.standins.instance import StandinInstance
from catkincrank.standins.log import Change
from catkincrank.standins.observer import ExecutedStatement
from catkincrank.standins.portal import (
    Columns,
    Row,
    Runner,
    StandinStatement,
)
from catkincrank.standins.schema import convert_parameter, convert_result
from catkincrank.standins.transaction import Transaction

__all__ = ('Execution',)

_IDLE: Final = b'I'
_OPEN: Final = b'T'
_FAILED: Final = b'E'
_CREATE_KEYWORD = 'create'

_commands: Registry[Any] = Registry('transaction command')


@final
class Execution:
    """Runs one session's statements.

    Args:
        instance: The instance.
        connection: The connection, whose ``tx_status`` this class sets.
    """

    def __init__(self, instance: StandinInstance, connection: Any) -> None:
        self.transaction = Transaction(instance)
        self.connection = connection
        self._instance = instance

    def prepare(
        self,
        sql: str,
        keyword: str,
        declared: list[int | None],
    ) -> Statement:
        """Return the prepared statement for ``sql``.

        Args:
            sql: Its text.
            keyword: Its first word in lower case.
            declared: Parameter types that the caller declared.
        """
        if keyword in _commands.names():
            return StandinStatement(sql, self._make_command(sql, keyword))
        translation = self._instance.database.translate(sql)
        inferred = translation.parameter_oids
        padded = [*declared, *(None for _ in inferred)]
        oids = tuple(map(_choose_oid, padded, inferred))
        declaration = sql if keyword == _CREATE_KEYWORD else ''

        async def run(params: list[str | None]) -> list[Row]:  # noqa: WPS430
            await self._instance.wait_running()
            change = Change(
                translation.sql,
                _name_params(params, oids),
                datetime.now(UTC).isoformat(),
                declaration,
            )
            rows = await self._run(change, translation)
            self._report_statement(sql, params)
            return rows

        return StandinStatement(sql, run, translation.columns, oids)

    def _make_command(self, sql: str, keyword: str) -> Runner:
        async def run(params: list[str | None]) -> list[Row]:  # noqa: WPS430
            await self._instance.wait_running()
            words = sql.lower().rstrip('; \n').split()
            await _commands.find(keyword)(self, words)
            self._report_statement(sql, params)
            return []

        return run

    def _report_statement(self, sql: str, params: list[str | None]) -> None:
        instance = self._instance
        executed = ExecutedStatement(
            instance.name,
            instance.role is Role.PRIMARY,
            '{0}/{1}'.format(instance.incarnation, self.connection.pid),
            sql,
            params,
            self.connection.tx_status != _IDLE,
        )
        instance.options.observer.on_statement(executed)

    async def _run(
        self,
        change: Change,
        translation: Translation,
    ) -> list[Row]:
        is_plain_read = translation.kind is StatementKind.READ
        if is_plain_read and not self.transaction.is_writing:
            rows = await self._read(change)
        else:
            rows = await self._write(change, translation.kind)
        return _export(rows, translation.columns)

    async def _read(self, change: Change) -> list[Row]:
        async with self._instance.slots:
            await self._simulate_work()
            return self._instance.database.read(change.sql, change.params)

    async def _write(self, change: Change, kind: StatementKind) -> list[Row]:
        is_single = self.connection.tx_status == _IDLE
        await self.transaction.acquire_write_lock()
        try:
            rows = await self._write_draft(change)
        except BaseException:
            if is_single:
                self.transaction.rollback()
            raise
        if kind is StatementKind.WRITE:
            self.transaction.add(change)
        if is_single:
            self.transaction.commit()
        return rows

    async def _write_draft(self, change: Change) -> list[Row]:
        async with self._instance.slots:
            await self._simulate_work()
            self.transaction.check_write_lock()
            rows, count = self._instance.database.write(change)
            return rows or [() for _ in range(count)]

    async def _simulate_work(self) -> None:
        if self._instance.options.statement_s:
            await anyio.sleep(self._instance.options.statement_s)
        await self._instance.wait_running()


@_commands.register('begin')
@_commands.register('start')
async def _begin(execution: Execution, words: list[str]) -> None:
    if execution.connection.tx_status == _IDLE:
        execution.connection.tx_status = _OPEN


@_commands.register('commit')
@_commands.register('end')
async def _commit(execution: Execution, words: list[str]) -> None:
    status = execution.connection.tx_status
    execution.connection.tx_status = _IDLE
    if status == _FAILED:
        execution.transaction.rollback()
    else:
        execution.transaction.commit()


@_commands.register('rollback')
@_commands.register('abort')
async def _rollback(execution: Execution, words: list[str]) -> None:
    if 'to' in words:
        execution.transaction.rollback_to(words[-1])
        execution.connection.tx_status = _OPEN
        return
    execution.connection.tx_status = _IDLE
    execution.transaction.rollback()


@_commands.register('savepoint')
async def _set_savepoint(execution: Execution, words: list[str]) -> None:
    await execution.transaction.set_savepoint(words[-1])


@_commands.register('release')
async def _release_savepoint(execution: Execution, words: list[str]) -> None:
    execution.transaction.release_savepoint(words[-1])


@_commands.register('set')
@_commands.register('reset')
@_commands.register('discard')
@_commands.register('close')
@_commands.register('unlisten')
async def _ignore(execution: Execution, words: list[str]) -> None:
    """Accept a session command that has no effect on a stand-in."""


def _choose_oid(declared: int | None, inferred: int) -> int:
    return declared or inferred


def _name_params(
    params: list[str | None],
    oids: tuple[int, ...],
) -> dict[str, object]:
    named = {}
    for index, text in enumerate(params):
        oid = oids[index] if index < len(oids) else TEXT
        named['p{0}'.format(index + 1)] = convert_parameter(text, oid)
    return named


def _export(rows: list[Row], columns: Columns) -> list[Row]:
    if columns is None:
        return rows
    oids = [column.oid for column in columns]
    return [tuple(map(convert_result, row, oids)) for row in rows]
