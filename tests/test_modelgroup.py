import anyio
import pytest

from catkincrank.endpoint import Credential
from catkincrank.errors import EndpointError
from catkincrank.instance import Ballot, Role
from catkincrank.standins.modelgroup import ModelGroup
from catkincrank.standins.modelnetwork import Step
from tests import virtualtime

LOGIN = Credential('u', 'p', 'd')
INSERT = 'INSERT INTO notes (text) VALUES ($1)'


async def connect(group, endpoint, origin='proxy'):
    address = group.addresses()[endpoint]
    return await group.driver(origin).connect(address, LOGIN, origin)


def run(scene):
    """Run ``scene(group, connection to the primary)`` in virtual time."""

    async def play():
        async with ModelGroup(delay_s=0.001) as group:
            connection = await connect(group, 'a')
            await connection.execute('CREATE TABLE notes (text text)')
            await scene(group, connection)

    virtualtime.run(play)


async def read(group, endpoint):
    connection = await connect(group, endpoint)
    answer = await connection.execute('SELECT text FROM notes')
    return [row[0] for row in answer.rows]


def test_replicates_with_lag():
    async def scene(group, connection):
        group.set_lag('b', 1)
        await connection.execute('BEGIN')
        await connection.execute(INSERT, ['x'])
        assert await read(group, 'a') == []
        mark = await connection.commit()
        await anyio.sleep(0.2)
        assert await read(group, 'c') == ['x']
        assert await read(group, 'b') == []
        await anyio.sleep(1)
        assert await read(group, 'b') == ['x']
        assert group.servers['b'].describe().received_mark == mark

    run(scene)


def test_seal_promote_follow():
    async def scene(group, connection):
        ballot = Ballot(2, 'k')
        addresses = group.addresses()
        await anyio.sleep(0.2)
        links = {
            name: await connect(group, name, 'catkincrank-keeper')
            for name in 'abc'
        }
        for link in links.values():
            assert (await link.seal(ballot)).is_sealed
        assert not (await links['b'].seal(Ballot(1, 'z'))).sealed < ballot
        with pytest.raises(EndpointError):
            await connection.execute(INSERT, ['late'])
        assert (await links['b'].promote(Ballot(2, 'j'))).role is Role.REPLICA
        assert (await links['b'].promote(ballot)).role is Role.PRIMARY
        for name in 'ac':
            await links[name].follow(addresses['b'], ballot)
        await anyio.sleep(1)
        for name in 'abc':
            assert group.servers[name].describe().term == 2
        assert group.instance('a').role is Role.REPLICA

    run(scene)


@pytest.mark.parametrize(
    ('step', 'was_sent', 'kept'),
    [(Step.ARRIVED, True, []), (Step.RAN, True, ['x'])],
)
def test_kill_at_commit(step, was_sent, kept):
    async def scene(group, connection):
        async def kill(event, at):
            if at is step and event.sql == 'COMMIT':
                group.kill('a')

        await connection.execute('BEGIN')
        await connection.execute(INSERT, ['x'])
        group.network.hook = kill
        with pytest.raises(EndpointError) as caught:
            await connection.commit()
        assert caught.value.was_sent is was_sent
        group.network.hook = None
        group.restart('a')
        assert await read(group, 'a') == kept

    run(scene)


def test_answer_comes_late_through_a_cut():
    async def scene(group, connection):
        group.network.cut('proxy', 'a')
        with anyio.move_on_after(5) as scope:
            await connection.execute(INSERT, ['x'])
        assert scope.cancelled_caught
        await connection.close()
        group.network.heal()
        await anyio.sleep(5)
        # What was sent arrives and runs, though nobody waits for it.
        assert await read(group, 'a') == ['x']
        assert not [
            one for one in group.servers['a'].connections if one.origin == 'z'
        ]

    run(scene)


def test_silent_connections_stay_silent():
    async def scene(group, connection):
        group.silence('proxy')
        with anyio.move_on_after(60) as scope:
            await connection.execute(INSERT, ['x'])
        assert scope.cancelled_caught
        assert await read(group, 'a') == []

    run(scene)


def test_failed_statement_fails_its_transaction():
    async def scene(group, connection):
        await connection.execute('BEGIN')
        for sql in ('SELECT * FROM nothing', 'SELECT 1'):
            with pytest.raises(Exception, match='nothing|aborted'):
                await connection.execute(sql)
        assert connection.transaction == 'E'
        await connection.execute('ROLLBACK')
        assert connection.transaction == 'I'

    run(scene)
