"""Answers of the stand-in to the statements that watch and steer it."""

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

__all__ = ('find_columns', 'find_control')

_Control = Callable[['StandinSession', tuple[str, ...]], Awaitable[list[Row]]]
_CONFIGURE = re.compile(
    "ALTER SYSTEM SET primary_conninfo = '(.*)'$", re.DOTALL
)
_KEEPER_PREFIX = 'catkincrank-keeper'
_LSN_LOW_BITS = 32
_LSN_LOW_MASK = 0xFFFFFFFF
_LOCK_NOT_HELD = '55000'
_INT_COLUMN = ResultColumn('count', INT8)
_TEXT_COLUMN = ResultColumn('text', TEXT)
_BOOL_COLUMN = ResultColumn('bool', BOOL)

_controls: Registry[_Control] = Registry('control statement')

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
    """Return the columns of a control statement's answer."""
    for text, columns in _COLUMNS:
        if text == sql:
            return columns
    return None


def find_control(sql: str) -> _Control | None:
    """Return what answers ``sql``; ``None`` when it is no such statement."""
    if sql in _controls.names():
        return _controls.find(sql)
    configuring = _CONFIGURE.match(sql)
    if configuring is None:
        return None
    return _make_configure(configuring.group(1).replace("''", "'"))


@_controls.register(statements.INCARNATION)
async def _read_incarnation(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    return [(session.instance.incarnation,)]


@_controls.register(statements.MARK)
async def _read_mark(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    instance = session.instance
    if instance.role is Role.REPLICA:
        return [(None, None)]
    return [(instance.log.history.term, instance.log.end)]


@_controls.register(statements.STATUS)
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


@_controls.register(statements.LOCK)
async def _lock(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    await session.instance.advisory.acquire()
    session.holds_advisory = True
    return [('',)]


@_controls.register(statements.UNLOCK)
async def _unlock(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    held = session.holds_advisory
    session.release_advisory()
    return [(held,)]


@_controls.register(statements.READ_ONLY_ON)
async def _stop_writes(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    session.instance.is_read_only = True
    return []


@_controls.register(statements.READ_ONLY_OFF)
async def _allow_writes(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    session.instance.is_read_only = False
    return []


@_controls.register(statements.RELOAD)
async def _reload(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    session.instance.notify()
    return [(True,)]


@_controls.register(statements.PROMOTE)
async def _promote(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    session.instance.promote()
    return [(True,)]


@_controls.register(statements.TERMINATE)
async def _terminate(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    named = [peer for peer in session.peers if peer.application == params[0]]
    return [(_end_sessions(session, named),)]


@_controls.register(statements.TERMINATE_OTHERS)
async def _terminate_others(
    session: 'StandinSession',
    params: tuple[str, ...],
) -> list[Row]:
    others = [
        peer
        for peer in session.peers
        if not peer.application.startswith(_KEEPER_PREFIX)
    ]
    return [(_end_sessions(session, others),)]


def _make_configure(text: str) -> _Control:
    async def configure(  # noqa: WPS430
        session: 'StandinSession',
        params: tuple[str, ...],
    ) -> list[Row]:
        if not session.holds_advisory:
            raise PgError(_LOCK_NOT_HELD, 'the advisory lock is not held')
        session.instance.conninfo = text
        return []

    return configure


def _end_sessions(
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
