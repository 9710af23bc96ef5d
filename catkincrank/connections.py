"""Accepts connections for every server of this package.

An error in one connection is logged and closes that connection alone. An error
of ``accept`` delays the next attempt; the connection waits in the backlog.
"""

import errno
from asyncio import CancelledError
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, final

import anyio
from anyio.abc import (
    Listener,
    SocketAttribute,
    SocketListener,
    SocketStream,
    TaskGroup,
)

from catkincrank.linebudget import LineBudget
from catkincrank.logs import log_event

__all__ = (
    'ConnectionLog',
    'LimitedHandler',
    'find_peer',
    'serve_connections',
)

_Serve = Callable[[SocketStream], Awaitable[None]]

# Descriptors or memory are used up for as long as others hold them.
_ACCEPT_RETRY_S = 0.1
_ACCEPT_LINES_PER_S = 1
_CONNECTION_LINES_PER_S = 5
_CONNECTION_BURST_LINES = 50
# A connection that is refused is held no longer than this.
_REFUSAL_LIMIT_S = 1


@final
class ConnectionLog:
    """Logs errors of one server's connections at a limited rate."""

    __slots__ = ('_accept_budget', '_budget')

    def __init__(self) -> None:
        self._accept_budget = LineBudget(_ACCEPT_LINES_PER_S, 1)
        self._budget = LineBudget(
            _CONNECTION_LINES_PER_S, _CONNECTION_BURST_LINES
        )

    def record_failure(self, peer: str, error: BaseException) -> None:
        """Log an error that closes the connection of ``peer``."""
        self._write(
            self._budget,
            'connection_failed',
            peer=peer,
            cause=_name_error(error),
        )

    def record_accept_failure(self, error: OSError) -> None:
        """Log an error of ``accept``."""
        cause = errno.errorcode.get(error.errno or 0, _name_error(error))
        self._write(self._accept_budget, 'accept_failed', cause=cause)

    def _write(self, budget: LineBudget, event: str, **fields: Any) -> None:
        if budget.take(anyio.current_time()):
            dropped = budget.reset_dropped()
            log_event(event, 'WARNING', **fields, lines_dropped=dropped)


@final
class LimitedHandler:
    """Serves a limited number of connections and refuses further ones.

    Args:
        handle: Serves one connection.
        refuse: Tells the other end that the limit is reached.
        most: Connections that are served at the same time.
        most_refused: Connections that are being refused at the same time;
            further ones are closed without an answer.
    """

    __slots__ = (
        '_budget',
        '_handle',
        '_most',
        '_most_refused',
        '_open',
        '_refuse',
        '_refused',
    )

    def __init__(
        self, handle: _Serve, refuse: _Serve, most: int, most_refused: int = 1
    ) -> None:
        self._handle = handle
        self._refuse = refuse
        self._most = most
        self._most_refused = most_refused
        self._open = 0
        self._refused = 0
        self._budget = LineBudget(_ACCEPT_LINES_PER_S, 1)

    async def serve(self, stream: SocketStream) -> None:
        """Serve a connection, or refuse it."""
        if self._open < self._most:
            self._open += 1
            try:  # noqa: WPS501
                await self._handle(stream)
            finally:
                self._open -= 1
            return
        self._record()
        if self._refused < self._most_refused:
            self._refused += 1
            try:  # noqa: WPS501
                await self._refuse_in_time(stream)
            finally:
                self._refused -= 1

    async def _refuse_in_time(self, stream: SocketStream) -> None:
        with anyio.move_on_after(_REFUSAL_LIMIT_S):
            await self._refuse(stream)

    def _record(self) -> None:
        if self._budget.take(anyio.current_time()):
            log_event(
                'connections_exhausted',
                'WARNING',
                most=self._most,
                lines_dropped=self._budget.reset_dropped(),
            )


async def serve_connections(
    listener: Listener[SocketStream],
    handle: _Serve,
    tasks: TaskGroup | None = None,
) -> None:
    """Serve the connections of a listener until cancelled.

    Args:
        listener: The listener; it is not closed.
        handle: Serves one connection, which is closed when it returns.
        tasks: Runs ``handle``, so that connections outlast this call; by
            default they end with it.
    """
    log = ConnectionLog()

    async def serve(stream: SocketStream) -> None:  # noqa: WPS430
        await _serve_guarded(stream, handle, log)

    async with anyio.create_task_group() as accepting:
        for one in _list_listeners(listener):
            accepting.start_soon(
                _accept_all, one, serve, tasks or accepting, log
            )


def find_peer(stream: SocketStream) -> str:
    """Return the address of the other end, if it is still known."""
    try:
        host, port, *_ = stream.extra(SocketAttribute.remote_address)
    except (OSError, LookupError, ValueError):
        return ''
    return '{0}:{1}'.format(host, port)


async def _accept_all(
    listener: SocketListener,
    serve: _Serve,
    tasks: TaskGroup,
    log: ConnectionLog,
) -> None:
    while True:
        try:
            stream = await listener.accept()
        except OSError as error:
            log.record_accept_failure(error)
            await anyio.sleep(_ACCEPT_RETRY_S)
            continue
        tasks.start_soon(serve, stream)


async def _serve_guarded(
    stream: SocketStream, handle: _Serve, log: ConnectionLog
) -> None:
    """Run ``handle``; no error of it reaches the task group."""
    try:
        async with stream:
            await handle(stream)
    except Exception as error:
        log.record_failure(find_peer(stream), error)
    except CancelledError as cancelled:
        # Without a cancellation of its own scope, this would cancel all tasks
        # of the group.
        if anyio.get_current_task().has_pending_cancellation():
            raise
        log.record_failure(find_peer(stream), cancelled)


def _list_listeners(
    listener: Listener[SocketStream],
) -> Iterable[SocketListener]:
    """Return the sockets of a listener, which may combine several."""
    return getattr(listener, 'listeners', (listener,))


def _name_error(error: BaseException) -> str:
    """Return the kind of an error; its text may repeat what was received."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return type(error).__name__
