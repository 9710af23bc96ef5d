"""Measures the processor time that a proxy spends on each statement.

The proxy runs in one thread and a caller in another. Endpoints answer
immediately and without a socket, so the processor time of the proxy's thread is
the proxy's own cost. Prints one JSON object with microseconds by kind of
statement.
"""

import argparse
import cProfile
import functools
import json
import pstats
import statistics
import sys
import threading
import time
from collections.abc import Sequence
from types import MappingProxyType
from typing import Any

import anyio
import asyncpg
import psycopg

from catkincrank.endpoint import (
    Answer,
    Column,
    Description,
    Driver,
    EndpointConnection,
    TransactionStatus,
)
from catkincrank.history import History, LogMark, TermStart
from catkincrank.instance import InstanceStatus, Observation, Role
from catkincrank.proxy import Proxy, ProxyOptions, serve
from catkincrank.settings import Endpoint, Service, Team

__all__ = ('main',)

_GROUP = 'sawari/ledger'
_ENDPOINTS = ('a', 'b', 'c')
_HISTORY = History((TermStart(1, 0),))
_POSITION = 1 << 40
_ROW = (('17', 'Maya', '1250.00'),)
_COLUMNS = (Column('id', 20), Column('owner', 25), Column('due', 1700))
_FEED_INTERVAL_S = 0.05
_READ = 'SELECT id, owner, due FROM loans WHERE id = $1'
_WRITE = 'UPDATE loans SET due = due - 1 WHERE id = $1'


class _InstantConnection(EndpointConnection):
    """Connection to an endpoint that answers immediately."""

    incarnation = 'i1'
    fetch_status = None
    seal = None
    promote = None
    follow = None
    terminate = None

    def __init__(self) -> None:
        self._status = TransactionStatus.IDLE

    @property
    def transaction(self) -> TransactionStatus:
        return self._status

    async def execute(self, sql: str, params: Sequence[Any] = ()) -> Answer:
        if sql == 'BEGIN':
            self._status = TransactionStatus.OPEN
            return Answer('BEGIN', None, (), self._status)
        if sql.startswith('SELECT'):
            return Answer('SELECT 1', _COLUMNS, _ROW, self._status)
        return Answer('UPDATE 1', None, (), self._status)

    async def describe(self, sql: str) -> Description:
        columns = _COLUMNS if sql.startswith('SELECT') else None
        return Description((20,) * sql.count('$'), columns)

    async def commit(self) -> LogMark:
        self._status = TransactionStatus.IDLE
        return LogMark(1, _POSITION)

    async def close(self) -> None:
        self._status = TransactionStatus.IDLE


class _InstantDriver(Driver):
    """Driver that opens connections immediately."""

    async def connect(self, *_: Any) -> EndpointConnection:
        return _InstantConnection()


async def _feed_proxy(proxy: Proxy) -> None:
    """Keep the proxy's observations of the instances up to date."""
    while True:
        for name in _ENDPOINTS:
            role = Role.PRIMARY if name == 'a' else Role.REPLICA
            status = InstanceStatus(
                name,
                'i1',
                role,
                _HISTORY,
                _POSITION,
                _POSITION,
                '' if name == 'a' else 'a',
            )
            observation = Observation(status, anyio.current_time())
            proxy.feed.record(_GROUP, observation)
        await anyio.sleep(_FEED_INTERVAL_S)


class _ProxyThread(threading.Thread):
    """Thread that runs a proxy and reads its processor time."""

    def __init__(self, profile: cProfile.Profile | None) -> None:
        super().__init__(daemon=True)
        self.ready = threading.Event()
        self.port = 0
        self._profile = profile
        self._portal: Any = None

    def run(self) -> None:
        if self._profile is not None:
            self._profile.enable()
        anyio.run(self._main)

    def read_cpu(self) -> float:
        """Return the thread's processor time in seconds."""
        return time.clock_gettime(time.pthread_getcpuclockid(self.ident))

    async def _main(self) -> None:
        endpoints = tuple(Endpoint(name, 'z1', name, 1) for name in _ENDPOINTS)
        options = ProxyOptions(
            'p1',
            'z1',
            teams={'sawari': Team({'ledger': Service(endpoints)})},
            driver=_InstantDriver(),
            extensions=(_feed_proxy,),
        )
        async with anyio.create_task_group() as tasks:
            proxy = await tasks.start(serve, options)
            self.port = proxy.server.port
            self.ready.set()


async def _connect(port: int) -> asyncpg.Connection:
    return await asyncpg.connect(
        host='127.0.0.1',
        port=port,
        user='sawari.ledger',
        database='loans',
        ssl=False,
    )


async def _read(connection: asyncpg.Connection) -> None:
    await connection.fetchrow(_READ, 17)


async def _read_simple(connection: asyncpg.Connection) -> None:
    await connection.execute('SELECT id, owner, due FROM loans')


async def _write(connection: asyncpg.Connection) -> None:
    await connection.execute(_WRITE, 17)


async def _run_transaction(connection: asyncpg.Connection) -> None:
    async with connection.transaction():
        await connection.fetchrow(_READ, 17)
        await connection.execute(_WRITE, 17)


async def _read_psycopg(connection: psycopg.AsyncConnection[Any]) -> None:
    cursor = await connection.execute(_READ.replace('$1', '%s'), (17,))
    await cursor.fetchone()


async def _open_psycopg(port: int) -> psycopg.AsyncConnection[Any]:
    return await psycopg.AsyncConnection.connect(
        'host=127.0.0.1 port={0} user=sawari.ledger dbname=loans '
        'sslmode=disable'.format(port),
        autocommit=True,
    )


_KINDS = MappingProxyType(
    {
        'read': (_connect, _read),
        'read_simple': (_connect, _read_simple),
        'read_psycopg': (_open_psycopg, _read_psycopg),
        'write': (_connect, _write),
        'transaction': (_connect, _run_transaction),
    },
)


async def _measure(
    thread: _ProxyThread,
    kind: str,
    count: int,
    rounds: int,
) -> tuple[float, float]:
    open_connection, work = _KINDS[kind]
    connection = await open_connection(thread.port)
    costs = []
    for _ in range(rounds):
        before = thread.read_cpu()
        for _ in range(count):
            await work(connection)  # noqa: WPS476
        costs.append((thread.read_cpu() - before) / count)
    await connection.close()
    return min(costs) * 1e6, statistics.median(costs) * 1e6


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=500)
    parser.add_argument('--rounds', type=int, default=12)
    parser.add_argument('--kinds', nargs='+', default=list(_KINDS))
    parser.add_argument('--profile', choices=_KINDS, default=None)
    arguments = parser.parse_args()
    profile = cProfile.Profile() if arguments.profile else None
    thread = _ProxyThread(profile)
    thread.start()
    thread.ready.wait()
    kinds = [arguments.profile] if arguments.profile else arguments.kinds
    measured = {}
    for kind in kinds:
        run = functools.partial(
            _measure,
            thread,
            kind,
            arguments.count,
            arguments.rounds,
        )
        least, median = anyio.run(run)
        measured[kind] = {
            'least_us': round(least, 1),
            'median_us': round(median, 1),
        }
    if profile is not None:
        profile.disable()
        pstats.Stats(profile).sort_stats('tottime').print_stats(45)
    sys.stdout.write('{0}\n'.format(json.dumps(measured)))


if __name__ == '__main__':
    main()
