"""Prepared statements and portals of callers, backed by the executor."""

from collections.abc import Callable, Sequence
from typing import Any, final

from loguru import logger
from pg_mimic.errors import PgError
from pg_mimic.results import ResultColumn, format_code_for
from pg_mimic.session import BaseSession
from pg_mimic.session import Portal as BasePortal
from pg_mimic.session import Statement as BaseStatement

from catkincrank.callererrors import convert_error
from catkincrank.endpoint import Answer, Column, StatementError
from catkincrank.errors import OptionError
from catkincrank.executor import Executor
from catkincrank.session import Session
from catkincrank.statement import Kind, Statement, classify, split
from catkincrank.textvalues import find_encoder
from catkincrank.verdict import RequestError, Verdict

__all__ = (
    'CallerPortal',
    'CallerSession',
    'PreparedStatement',
    'encode_values',
    'find_encoders',
)

_EXPECTED_ERRORS = (RequestError, StatementError, OptionError)
_INTERNAL_ERROR = 'XX000'
_SYNTAX_ERROR = '42601'
_CHANGED_RESULT_TYPE = '0A000'
_PARAMETER_SIGN = '$'


@final
class CallerSession(BaseSession):
    """Connects a caller's connection with the executor.

    Args:
        executor: Runs statements.
        session: State of the session.
    """

    def __init__(self, executor: Executor, session: Session) -> None:
        self._executor = executor
        self.state = session

    async def close(self) -> None:
        """Roll back the caller's open transaction, if any."""
        await self._executor.close(self.state)

    async def prepare(
        self,
        sql: str,
        param_oids: list[int | None],
    ) -> 'PreparedStatement':
        """Return a prepared statement with its parameter types."""
        texts = split(sql)
        if len(texts) > 1:
            raise PgError(
                _SYNTAX_ERROR,
                'cannot insert multiple commands into a prepared statement',
            )
        prepared = PreparedStatement(self, classify(sql), param_oids)
        if _PARAMETER_SIGN in sql:
            await prepared.describe()
        return prepared

    async def run(
        self,
        statement: Statement,
        params: tuple[str | None, ...],
    ) -> Answer:
        """Run a statement; raise errors in the form sent to the caller."""
        try:
            return await self._executor.run(self.state, statement, params)
        except _EXPECTED_ERRORS as error:
            self.state.fail_transaction()
            raise convert_error(error) from None
        except Exception as error:
            self.state.fail_transaction()
            crash = logger.bind(
                event='statement_crashed',
                group=self.state.group,
            )
            crash.opt(exception=error).error('statement_crashed')
            raise PgError(
                _INTERNAL_ERROR,
                'internal error of the proxy',
                D='verdict: {0}'.format(Verdict.MAY_HAVE_RUN.value),
            ) from None

    async def fetch_description(
        self,
        statement: Statement,
    ) -> tuple[tuple[int, ...], tuple[Column, ...] | None]:
        """Return parameter types and result columns of a statement."""
        try:
            found = await self._executor.describe(self.state, statement)
        except _EXPECTED_ERRORS as error:
            self.state.fail_transaction()
            raise convert_error(error) from None
        return found.parameter_oids, found.columns

    def drop_cached_description(self, statement: Statement) -> None:
        """Drop the cached description of a statement."""
        self._executor.drop_description(self.state, statement)


@final
class PreparedStatement(BaseStatement):
    """A prepared statement of a caller.

    Args:
        caller: Session that prepared it.
        statement: The statement.
        given_oids: Parameter types that the caller specified.
    """

    def __init__(
        self,
        caller: CallerSession,
        statement: Statement,
        given_oids: Sequence[int | None],
    ) -> None:
        self.caller = caller
        self.statement = statement
        self.sql = statement.text
        self.param_oids = list(given_oids)
        self._columns: list[ResultColumn] | None = None
        self._is_described = False

    async def describe(self) -> list[ResultColumn] | None:
        """Return the result columns; set the parameter types."""
        if self._is_described or self.statement.kind is Kind.EMPTY:
            return self._columns
        oids, columns = await self.caller.fetch_description(self.statement)
        self.param_oids = _merge_oids(self.param_oids, oids)
        if columns is not None:
            self._columns = [ResultColumn(one.name, one.oid) for one in columns]
        self._is_described = True
        return self._columns

    def bind(self, params: list[str | None]) -> 'CallerPortal':
        """Return a portal that runs the statement with ``params``."""
        return CallerPortal(self, tuple(params))


@final
class CallerPortal(BasePortal):
    """A bound statement, which runs when rows are first requested.

    Args:
        prepared: The statement.
        params: Its parameters in text form.
    """

    def __init__(
        self,
        prepared: PreparedStatement,
        params: tuple[str | None, ...],
    ) -> None:
        self._prepared = prepared
        self._params = params
        self._answer: Answer | None = None
        self._sent_row_count = 0

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to run."""
        return self._prepared.statement.kind is Kind.EMPTY

    async def run(self) -> Answer:
        """Return the answer; run the statement on the first call."""
        if self._answer is None:
            prepared = self._prepared
            answer = await prepared.caller.run(
                prepared.statement,
                self._params,
            )
            self._check_columns(answer, await prepared.describe())
            self._answer = answer
        return self._answer

    async def execute(self, max_rows: int) -> tuple[list[Any], bool]:
        """Return the next rows, and whether there may be more."""
        answer = await self.run()
        return self.fetch_rows(answer, max_rows)

    def fetch_rows(
        self, answer: Answer, max_rows: int
    ) -> tuple[list[Any], bool]:
        """Return the next ``max_rows`` rows of ``answer``; 0 means all."""
        begin = self._sent_row_count
        end = len(answer.rows)
        if max_rows > 0:
            end = min(end, begin + max_rows)
        self._sent_row_count = end
        is_suspended = max_rows > 0 and end - begin == max_rows
        return list(answer.rows[begin:end]), is_suspended

    def _check_columns(
        self,
        answer: Answer,
        expected: list[ResultColumn] | None,
    ) -> None:
        """Reject result columns that differ from the described ones."""
        found = answer.columns or ()
        described = [(one.name, one.oid) for one in expected or ()]
        if [(one.name, one.oid) for one in found] == described:
            return
        statement = self._prepared.statement
        self._prepared.caller.drop_cached_description(statement)
        raise PgError(
            _CHANGED_RESULT_TYPE,
            'cached plan must not change result type',
            D='verdict: {0}'.format(
                Verdict.NOT_RUN.value
                if statement.kind is Kind.READ
                else Verdict.RAN.value,
            ),
        )


def find_encoders(
    columns: Sequence[Column],
    formats: list[int],
) -> list[Callable[[str], bytes]]:
    """Return an encoder per column for the format the caller requested."""
    return [
        find_encoder(column.oid)
        if format_code_for(formats, index)
        else str.encode
        for index, column in enumerate(columns)
    ]


def encode_values(
    row: Sequence[str | None],
    encoders: Sequence[Callable[[str], bytes]],
) -> list[bytes | None]:
    """Return a row's values in the formats the caller requested."""
    return [
        None if text is None else encode(text)
        for text, encode in zip(row, encoders, strict=True)
    ]


def _merge_oids(
    given: Sequence[int | None],
    found: Sequence[int],
) -> list[int | None]:
    merged: list[int | None] = list(found)
    for index, oid in enumerate(given):
        if index >= len(merged):
            merged.append(oid)
        elif oid is not None:
            merged[index] = oid
    return merged
