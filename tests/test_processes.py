"""End-to-end test with separate processes, including a failover."""

import os
import socket
import subprocess
import sys
from contextlib import ExitStack, asynccontextmanager, contextmanager
from pathlib import Path

import anyio
import psycopg
import pytest

from catkincrank.settings import Endpoint, Limits, Service, Team, encode_team
from catkincrank.standins.group import StandinGroup
from catkincrank.standins.storeserver import StandinStoreServer
from catkincrank.stores.http import HttpStore

ROOT = Path(__file__).parent.parent
HOST = '127.0.0.1'
LIMIT_S = 90
POLL_S = 0.2
KEEPERS = (('k1', 'z1'), ('k2', 'z2'), ('k3', 'z3'))
PROXIES = (('p1', 'z1'), ('p2', 'z2'))
PASSWORD_VARIABLE = 'LEDGER_PASSWORD'
CREATE = (
    'CREATE TABLE IF NOT EXISTS payments (id bigint PRIMARY KEY, amount bigint)'
)
COUNT = 'SELECT count(*) FROM payments'


def find_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@contextmanager
def run_daemon(*arguments, **environment):
    """Run a catkincrank program until the block ends."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'catkincrank', *arguments],
        cwd=ROOT,
        env={**os.environ, **environment},
        stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


@contextmanager
def run_daemons(platform, password):
    """Run keepers and proxies; yield the proxies' ports."""
    ports = {name: find_port() for name, _ in (*KEEPERS, *PROXIES)}
    with ExitStack() as stack:
        for name, zone in KEEPERS:
            peers = ','.join(
                '{0}/{1}/{2}:{3}'.format(peer, peer_zone, HOST, ports[peer])
                for peer, peer_zone in KEEPERS
                if peer != name
            )
            keeper = (
                *('keeper', '--name', name, '--zone', zone),
                *('--port', str(ports[name]), '--peers', peers),
                *('--store', platform.address, '--teams', 'sawari'),
            )
            stack.enter_context(
                run_daemon(*keeper, **{PASSWORD_VARIABLE: password}),
            )
        for (name, zone), (keeper_name, _) in zip(PROXIES, KEEPERS):
            keeper_address = '{0}/{1}:{2}'.format(
                keeper_name, HOST, ports[keeper_name]
            )
            proxy = (
                *('proxy', '--name', name, '--zone', zone),
                *('--port', str(ports[name]), '--keepers', keeper_address),
            )
            stack.enter_context(
                run_daemon(*proxy, **{PASSWORD_VARIABLE: password}),
            )
        yield [ports[name] for name, _ in PROXIES]


def make_team(group):
    login = group.credential
    endpoints = tuple(
        Endpoint(name, 'z1', address.host, address.port)
        for name, address in group.addresses().items()
    )
    service = Service(
        endpoints,
        database=login.database,
        user=login.user,
        password_variable=PASSWORD_VARIABLE,
        limits=Limits(proxies=2),
    )
    return Team({'ledger': service})


@asynccontextmanager
async def run_platform(group):
    platform = StandinStoreServer()
    async with anyio.create_task_group() as tasks:
        await tasks.start(platform.serve)
        await HttpStore(platform.address).write(
            'settings/sawari',
            encode_team(make_team(group)),
            expected_version=0,
            change_id='first',
        )
        yield platform
        tasks.cancel_scope.cancel()


async def call(port, *statements, token=''):
    """Run statements on a new session; return the last row and its token."""
    connection = await psycopg.AsyncConnection.connect(
        'host={0} port={1} user=sawari.ledger dbname=loans sslmode=disable '
        'connect_timeout=5'.format(HOST, port),
        autocommit=True,
    )
    async with connection:
        if token:
            await connection.execute(
                "SET catkincrank.session = '{0}'".format(token),
            )
        row = None
        for sql in statements:
            cursor = await connection.execute(sql)
            row = await cursor.fetchone() if cursor.description else None
        cursor = await connection.execute('SHOW catkincrank.session')
        return row, (await cursor.fetchone())[0]


async def call_until_success(port, *statements, token=''):
    """Call until it succeeds; request keys make repetition safe."""
    while True:
        try:
            return await call(port, *statements, token=token)
        except psycopg.Error:
            await anyio.sleep(POLL_S)


def pay(number):
    return (
        "SET catkincrank.request_key = 'pay-{0}'".format(number),
        'INSERT INTO payments (id, amount) VALUES ({0}, 10)'.format(number),
    )


async def replace_primary(group, ports):
    replaced = group.primary
    group.kill(replaced)
    _, token = await call_until_success(ports[1], *pay(2))
    assert (await call_until_success(ports[0], COUNT, token=token))[0] == (2,)
    assert group.primary not in {'', replaced}


async def read_at_other_proxy(group, ports):
    await call_until_success(ports[0], CREATE)
    _, token = await call_until_success(ports[0], *pay(1))
    assert (await call_until_success(ports[1], COUNT, token=token))[0] == (1,)


async def run_steps(*steps):
    async with StandinGroup() as group, run_platform(group) as platform:
        with run_daemons(platform, group.credential.password) as ports:
            with anyio.fail_after(LIMIT_S):
                for step in steps:
                    await step(group, ports)


@pytest.mark.timeout(150)
@pytest.mark.parametrize('steps', [(read_at_other_proxy, replace_primary)])
def test_payments_survive_a_change_of_primary(steps):
    anyio.run(run_steps, *steps)
