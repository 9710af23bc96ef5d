"""Statements that the proxy answers itself, without an endpoint."""

import re
from types import MappingProxyType
from typing import final

from catkincrank.endpoint import (
    Answer,
    Column,
    Description,
    StatementError,
    TransactionStatus,
)
from catkincrank.optionparser import OptionAssignment, parse_set
from catkincrank.session import Session
from catkincrank.statement import Kind, Statement

__all__ = ('REPORTED_PARAMETERS', 'LocalAnswers')

REPORTED_PARAMETERS = MappingProxyType(
    {
        'server_version': '16.0',
        'server_encoding': 'UTF8',
        'client_encoding': 'UTF8',
        'standard_conforming_strings': 'on',
        'integer_datetimes': 'on',
    },
)
_TEXT_OID = 25
_VOID_OID = 2278
_PREFIX = 'catkincrank.'
_NO_COLUMNS = Description((), None)
_NOT_SUPPORTED = '0A000'
_INVALID_VALUE = '22023'
_UNLOCK_ALL = 'pg_advisory_unlock_all'
_UNLOCK_CALL = re.compile(
    r'\s*select\s+(?:pg_catalog\.)?pg_advisory_unlock_all\(\)\s*+;?+\s*+\Z',
    re.IGNORECASE,
)
_PARAMETER_NAME = re.compile(
    r'\s*(?:show|reset)\s+([\w.]++)\s*+;?+\s*+\Z', re.IGNORECASE
)
_CLEANUP_CALL = re.compile(
    r'\s*(?:close\s+all|unlisten\s+\*|deallocate\s+(?:prepare\s+)?all)\s*+;?+\s*+\Z',
    re.IGNORECASE,
)
_UTF8_NAMES = frozenset(('utf8', 'utf-8', 'unicode'))
_NEEDS_TRANSACTION = (
    'this statement needs a transaction: a connection is leased to one '
    'transaction at a time'
)


@final
class LocalAnswers:
    """Answers statements about the session itself."""

    def find(self, session: Session, statement: Statement) -> Answer | None:
        """Return the answer; ``None`` when the statement needs an endpoint.

        Raises:
            OptionError: The value of an option is invalid.
            StatementError: The statement is not supported.
        """
        kind = statement.kind
        if kind in {Kind.READ, Kind.BEGIN, Kind.SAVEPOINT}:
            return None
        if kind is Kind.WRITE:
            return _answer_unlock(session, statement)
        if kind is Kind.SET:
            return _answer_set(session, statement)
        if kind is Kind.SHOW:
            return _answer_show(session, statement)
        if kind is Kind.RESET:
            return _answer_reset(session, statement)
        return _answer_other(session, statement)

    def describe(
        self,
        session: Session,
        statement: Statement,
    ) -> Description | None:
        """Return the description of the answer that ``find`` would give."""
        if statement.kind is Kind.SHOW:
            name = _parse_name(statement)
            if _find_parameter(session, name) is None:
                return None
            return Description((), (Column(name, _TEXT_OID),))
        if statement.kind is Kind.WRITE and _is_unlock(session, statement):
            return Description((), (Column(_UNLOCK_ALL, _VOID_OID),))
        if statement.kind in {Kind.READ, Kind.WRITE, Kind.SESSION}:
            return None
        return _NO_COLUMNS


def _answer_unlock(session: Session, statement: Statement) -> Answer | None:
    """Answer the unlock call that drivers send before reusing connections."""
    if not _is_unlock(session, statement):
        return None
    columns = (Column(_UNLOCK_ALL, _VOID_OID),)
    return Answer('SELECT 1', columns, (('',),), session.status)


def _is_unlock(session: Session, statement: Statement) -> bool:
    if session.transaction is not None:
        return False
    return _UNLOCK_CALL.match(statement.text) is not None


def _answer_set(session: Session, statement: Statement) -> Answer | None:
    assignment = parse_set(statement.text)
    if assignment is None:
        return None
    if assignment.is_proxy_option:
        session.assign(
            assignment.name, assignment.text, is_local=assignment.is_local
        )
        return _make_answer(session, 'SET')
    if assignment.name == 'client_encoding':
        _check_encoding(assignment)
        return _make_answer(session, 'SET')
    if assignment.name == 'application_name':
        return _make_answer(session, 'SET')
    return None


def _check_encoding(assignment: OptionAssignment) -> None:
    if assignment.text.lower() in _UTF8_NAMES:
        return
    raise StatementError(
        _INVALID_VALUE,
        'client_encoding: {0!r} is not accepted; it takes UTF8'.format(
            assignment.text,
        ),
        {},
        TransactionStatus.IDLE,
    )


def _answer_show(session: Session, statement: Statement) -> Answer | None:
    name = _parse_name(statement)
    setting = _find_parameter(session, name)
    if setting is None:
        return None
    return Answer(
        'SHOW',
        (Column(name, _TEXT_OID),),
        ((setting,),),
        session.status,
    )


def _find_parameter(session: Session, name: str) -> str | None:
    if name.startswith(_PREFIX):
        return session.show(name)
    return REPORTED_PARAMETERS.get(name)


def _answer_reset(session: Session, statement: Statement) -> Answer | None:
    name = _parse_name(statement)
    if name.startswith(_PREFIX):
        session.options.reset(name)
        return _make_answer(session, 'RESET')
    if name == 'all':
        session.options.reset_all()
    if session.transaction is not None:
        return None
    if name == 'all':
        session.settings.clear()
    session.settings.pop(name, None)
    return _make_answer(session, 'RESET')


def _answer_other(session: Session, statement: Statement) -> Answer | None:
    kind = statement.kind
    if kind is Kind.COPY:
        raise _make_unsupported_error('COPY is not supported', session)
    if session.transaction is not None:
        return None
    if kind is Kind.DISCARD:
        session.options.reset_all()
        session.settings.clear()
        return _make_answer(session, 'DISCARD ALL')
    if kind in {Kind.COMMIT, Kind.ROLLBACK}:
        return _make_answer(session, kind.value.upper())
    if kind is Kind.SESSION:
        if _CLEANUP_CALL.match(statement.text):
            return _make_answer(session, statement.text.split()[0].upper())
        raise _make_unsupported_error(_NEEDS_TRANSACTION, session)
    return None


def _parse_name(statement: Statement) -> str:
    found = _PARAMETER_NAME.match(statement.text)
    return found.group(1).lower() if found else ''


def _make_answer(session: Session, command: str) -> Answer:
    return Answer(command, None, (), session.status)


def _make_unsupported_error(message: str, session: Session) -> StatementError:
    status = session.status
    if status is TransactionStatus.OPEN:
        status = TransactionStatus.FAILED
    return StatementError(_NOT_SUPPORTED, message, {}, status)
