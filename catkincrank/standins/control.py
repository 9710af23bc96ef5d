"""Handlers of the statements that inspect and control a stand-in."""

import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import msgspec
from pg_mimic import BOOL, INT8, TEXT, PgError, ResultColumn

from catkincrank.endpoints import statements
from catkincrank.instance import Role
from catkincrank.registry import Registry
from catkincrank.standins.instance import StandinInstance
from catkincrank.standins.portal import Columns, Row

if TYPE_CHECKING:
    from catkincrank.standins.session import StandinSession

__all__ = ('find_columns', 'find_handler')

_ControlHandler = Callable[
    ['StandinSession', tuple[str, ...]], Awaitable[list[Row]]
]
_SET_CONNINFO = re.compile(
    "ALTER SYSTEM SET primary_conninfo = '(.*)'$", re.DOTALL
)
_KEEPER_PREFIX = 'catkincrank-keeper'
_LSN_LOW_BITS = 32
_LSN_LOW_MASK = 0xFFFFFFFF
_LOCK_NOT_HELD = '55000'
_INT_COLUMN = ResultColumn('count', INT8)
_TEXT_COLUMN = ResultColumn('text', TEXT)
_BOOL_COLUMN = ResultColumn('bool', BOOL)

_handlers: Registry[_ControlHandler] = Registry('control statement')

_COLUMNS: Final = (
    (statements.INCARNATION, (_TEXT_COLUMN,)),
    (statements.MARK, (_INT_COLUMN, _INT_COLUMN)),
    (statements.STATUS, (_TEXT_COLUMN,)),
    (statements.LOCK, (_TEXT_COLUMN,)),
    (statements.UNLOCK, (_BOOL_COLUMN,)),
    (statements.RELOAD, (_BOOL_COLUMN,)),
    (statements.PROMOTE, (_BOOL_COLUMN,)),
    (statements.TERMINATE, (_INT_COLUMN,)),
    (statements.TERMINATE_OTHERS, (_INT_COLUMN,)),
)


def find_columns(sql: str) -> Columns:
    """Return the result columns of a control statement."""
    for text, columns in _COLUMNS:
        if text == sql:
            return columns
    return None


def find_handler(sql: str) -> _ControlHandler | None:
    """Return the handler of a control statement; ``None`` for others."""
    if sql in _handlers.names():
        return _handlers.find(sql)
    conninfo_match = _SET_CONNINFO.match(sql)
    if conninfo_match is None:
        return None
    return _make_set_conninfo(conninfo_match.group(1).replace("''", "'"))


@_handlers.register(statements.INCARNATION)
async def _read_incarnation(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    return [(session.instance.incarnation,)]


@_handlers.register(statements.MARK)
async def _read_mark(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    instance = session.instance
    if instance.role is Role.REPLICA:
        return [(None, None)]
    return [(instance.log.history.term, instance.log.end)]


@_handlers.register(statements.STATUS)
async def _read_status(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    instance = session.instance
    row = (
        instance.role is Role.REPLICA,
        instance.log.history.term,
        instance.log.end,
        instance.replayed,
        instance.incarnation,
        instance.conninfo,
        _format_history(instance),
        len(session.peers),
        int(bool(instance.follows)),
    )
    return [(msgspec.json.encode(row).decode('ascii'),)]


@_handlers.register(statements.LOCK)
async def _lock(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    await session.instance.advisory_lock.acquire()
    session.holds_advisory_lock = True
    return [('',)]


@_handlers.register(statements.UNLOCK)
async def _unlock(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    held = session.holds_advisory_lock
    session.release_advisory_lock()
    return [(held,)]


@_handlers.register(statements.READ_ONLY_ON)
async def _disable_writes(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    session.instance.is_read_only = True
    return []


@_handlers.register(statements.READ_ONLY_OFF)
async def _enable_writes(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    session.instance.is_read_only = False
    return []


@_handlers.register(statements.RELOAD)
async def _reload(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    session.instance.notify()
    return [(True,)]


@_handlers.register(statements.PROMOTE)
async def _promote(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    session.instance.promote()
    return [(True,)]


@_handlers.register(statements.TERMINATE)
async def _terminate(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    matching = [peer for peer in session.peers if peer.application == params[0]]
    return [(_abort_sessions(session, matching),)]


@_handlers.register(statements.TERMINATE_OTHERS)
async def _terminate_others(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    others = [
        peer
        for peer in session.peers
        if not peer.application.startswith(_KEEPER_PREFIX)
    ]
    return [(_abort_sessions(session, others),)]


def _make_set_conninfo(text: str) -> _ControlHandler:
    async def set_conninfo(  # noqa: WPS430
        session: 'StandinSession',
        params: tuple[str, ...],
    ) -> list[Row]:
        if not session.holds_advisory_lock:
            raise PgError(_LOCK_NOT_HELD, 'the advisory lock is not held')
        session.instance.conninfo = text
        return []

    return set_conninfo


def _abort_sessions(
    session: 'StandinSession',
    ended: list['StandinSession'],
) -> int:
    others = [peer for peer in ended if peer is not session]
    for peer in others:
        peer.abort()
    return len(others)


def _format_history(instance: StandinInstance) -> str:
    starts = instance.log.history.starts
    lines = [
        '{0}\t{1:X}/{2:X}\tno reason'.format(
            start.term,
            following.position >> _LSN_LOW_BITS,
            following.position & _LSN_LOW_MASK,
        )
        for start, following in zip(starts, starts[1:], strict=False)
    ]
    return '\n'.join(lines)
