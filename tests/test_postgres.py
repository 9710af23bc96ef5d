import socket

import anyio
import pytest

import catkincrank.endpoints  # noqa: F401
from catkincrank.endpoint import (
    Credential,
    EndpointAddress,
    StatementError,
    drivers,
)
from catkincrank.errors import EndpointError
from catkincrank.instance import Ballot, Role
from catkincrank.standins.group import StandinGroup
from catkincrank.standins.instance import InstanceOptions

OPTIONS = InstanceOptions(password='secret', connect_s=0)
TABLE = 'create table loans (id int8 primary key, balance int8, name text)'


async def connect(group, name, application='test'):
    driver = drivers.find('postgres')()
    return await driver.connect(
        group.addresses()[name],
        group.credential,
        application,
    )


async def wait_status(connection, check):
    with anyio.fail_after(10):
        while True:
            status = await connection.fetch_status()
            if check(status):
                return status
            await anyio.sleep(0.01)


def test_statements_run_and_replicate():
    async def main():
        async with StandinGroup(options=OPTIONS) as group:
            a = await connect(group, 'a')
            b = await connect(group, 'b')
            await a.execute(TABLE)
            await a.execute('begin')
            answer = await a.execute(
                'insert into loans values ($1, $2, $3)',
                ['1', '100', "O'Hara"],
            )
            assert answer.command == 'INSERT 0 1'
            assert answer.transaction.value == 'T'
            mark = await a.commit()
            assert mark.term == 1 and mark.position > 0
            assert a.transaction.value == 'I'
            await wait_status(b, lambda s: s.replayed >= mark.position)
            answer = await b.execute(
                'select id, name from loans where balance = $1',
                ['100'],
            )
            assert answer.rows == (('1', "O'Hara"),)
            assert [c.oid for c in answer.columns] == [20, 25]
            shape = await a.describe(
                'update loans set balance = balance - $1 where id = $2',
            )
            assert shape.parameter_oids == (20, 20)
            assert shape.columns is None
            assert await b.commit() is None
            for sql, connection, sqlstate in (
                ('insert into loans values (1, 1, null)', a, '23505'),
                ('insert into loans values (2, 2, null)', b, '25006'),
                ('select * from missing', a, '42P01'),
                ('selec', a, '42601'),
            ):
                with pytest.raises(StatementError) as caught:
                    await connection.execute(sql)
                assert caught.value.sqlstate == sqlstate
            await a.close()
            await b.close()

    anyio.run(main)


def test_failover_fences_old_primary_and_truncates_its_log():
    async def main():
        async with StandinGroup(options=OPTIONS) as group:
            a, b, c = [await connect(group, name) for name in 'abc']
            keepers = [
                await connect(group, name, 'catkincrank-keeper-x')
                for name in 'abc'
            ]
            await a.execute(TABLE)
            await wait_status(b, lambda s: s.received > 0)
            await wait_status(c, lambda s: s.received > 0)
            group.cut('a', 'b')
            group.cut('a', 'c')
            await a.execute("insert into loans values (1, 1, 'lost')")
            ballot = Ballot(2, 'keeper-1')
            for keeper in keepers[1:]:
                status = await keeper.seal(ballot)
                assert status.is_sealed and not status.follows
            status = await keepers[2].seal(Ballot(1, 'older'))
            assert status.sealed == ballot
            status = await keepers[1].promote(Ballot(2, 'keeper-0'))
            assert status.role is Role.REPLICA
            status = await keepers[1].promote(ballot)
            assert status.role is Role.PRIMARY and status.term == 2
            address = group.addresses()['b']
            await keepers[2].follow(address, ballot)
            await b.execute("insert into loans values (2, 2, 'kept')")
            end = group.instances()[1].log.end
            status = await wait_status(c, lambda s: s.replayed == end)
            assert status.term == 2 and status.follows == 'b'
            before = a.incarnation
            group.heal()
            assert (await keepers[0].seal(ballot)).is_sealed
            with pytest.raises(EndpointError):
                await a.execute('select 1')
            await keepers[0].follow(address, ballot)
            late = await connect(group, 'a')
            with pytest.raises((StatementError, EndpointError)):
                await late.execute("insert into loans values (3, 3, 'late')")
            with anyio.fail_after(10):
                while group.instances()[0].role is Role.PRIMARY:
                    await anyio.sleep(0.01)
            again = await connect(group, 'a')
            assert again.incarnation != before
            answer = await again.execute('select id from loans')
            assert answer.rows == (('2',),)

    anyio.run(main)


def test_killed_frozen_and_full_instances_raise_errors():
    async def main():
        options = InstanceOptions(connections=2, connect_s=0)
        async with StandinGroup(options=options) as group:
            a = await connect(group, 'a')
            other = await connect(group, 'a')
            with pytest.raises(EndpointError, match='too many') as caught:
                await connect(group, 'a')
            assert not caught.value.was_sent
            group.freeze('a')
            with pytest.raises(TimeoutError):
                with anyio.fail_after(0.05):
                    await a.execute('select 1')
            await a.close()
            group.resume('a')
            group.kill('a')
            await anyio.sleep(0.01)
            with pytest.raises(EndpointError) as caught:
                await other.execute('select 1')
            with pytest.raises(EndpointError):
                await connect(group, 'a')
            await group.restart('a')
            assert (await connect(group, 'a')).incarnation != a.incarnation

    anyio.run(main)


@pytest.mark.parametrize(
    ('option', 'expected'),
    [
        (socket.TCP_KEEPIDLE, 2),
        (socket.TCP_KEEPINTVL, 1),
        (socket.TCP_KEEPCNT, 3),
        (socket.TCP_USER_TIMEOUT, 5000),
    ],
)
def test_tcp_options_end_silent_connections(option, expected):
    """Guards against connections that hang on a silent network path.

    A path can lose track of a connection without a reset; the kernel then has
    to end the connection within 5 s.
    """

    async def main():
        async with StandinGroup(options=OPTIONS) as group:
            connection = await connect(group, 'a')
            descriptor = connection._pgconn.socket
            with socket.socket(fileno=descriptor) as own:
                found = own.getsockopt(socket.IPPROTO_TCP, option)
                own.detach()
            await connection.close()
            assert found == expected

    anyio.run(main)


def test_refused_connection_has_one_line_reason():
    async def main():
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            address = EndpointAddress('a', *unused.getsockname())
            credential = Credential('u', 'p', 'd')
            with pytest.raises(EndpointError, match='refused') as caught:
                await drivers.find('postgres')().connect(
                    address,
                    credential,
                    'test',
                )
        assert len(str(caught.value).splitlines()) == 1

    anyio.run(main)
