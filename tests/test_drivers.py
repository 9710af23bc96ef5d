import anyio
import asyncpg
import msgspec
import psycopg
import pytest
from sqlalchemy import create_engine, text

from catkincrank.settings import Team
from catkincrank.tokens import decode_token
from tests.deployment import GROUP, deploy

CREATE = 'CREATE TABLE loans (id bigint PRIMARY KEY, owner text, due numeric)'
INSERT = 'INSERT INTO loans (id, owner, due) VALUES ({0}, {1}, {2})'


async def _run_on_asyncpg(deployment):
    first = await asyncpg.connect(**deployment.address(0))
    await first.execute(CREATE)
    sql = INSERT.format('$1', '$2', '$3')
    assert await first.execute(sql, 1, 'Maya', 10) == 'INSERT 0 1'
    async with first.transaction():
        changed = await first.execute('UPDATE loans SET due = due + 5')
    assert changed == 'UPDATE 1'
    token = await first.fetchval('SHOW catkincrank.session')
    assert decode_token(token).group == GROUP
    second = await asyncpg.connect(
        **deployment.address(1),
        server_settings={'options': '-c catkincrank.session=' + token},
    )
    row = await second.fetchrow('SELECT owner, due FROM loans WHERE id = $1', 1)
    assert (row['owner'], row['due']) == ('Maya', 15)
    with pytest.raises(asyncpg.UniqueViolationError) as caught:
        await second.execute(sql, 1, 'Maya', 10)
    assert 'verdict: not run' in caught.value.detail
    with pytest.raises(asyncpg.UndefinedColumnError):
        async with second.transaction():
            await second.execute(sql, 2, 'Hari', 20)
            await second.execute('SELECT missing FROM loans')
    assert await second.fetchval('SELECT count(*) FROM loans') == 1
    await first.close()
    await second.close()


async def _run_on_psycopg(deployment):
    connect = psycopg.AsyncConnection.connect
    async with await connect(deployment.conninfo()) as first:
        await first.execute(CREATE)
        await first.execute(INSERT.format(1, '%s', '%s'), ('Maya', 10))
        await first.commit()
        await first.execute("SET catkincrank.max_staleness = '5s'")
        shown = await first.execute('SHOW catkincrank.max_staleness')
        assert await shown.fetchone() == ('5s',)
        await first.rollback()
        shown = await first.execute('SHOW catkincrank.max_staleness')
        assert await shown.fetchone() == ('',)
        shown = await first.execute('SHOW catkincrank.session')
        (token,) = await shown.fetchone()
        await first.rollback()
        with pytest.raises(psycopg.errors.InvalidParameterValue) as caught:
            await first.execute('SET catkincrank.deadline = soon')
        assert 'catkincrank.deadline' in str(caught.value)
        assert first.info.transaction_status.name == 'INERROR'
    option = '-c catkincrank.session=' + token
    async with await connect(
        deployment.conninfo(1, option),
        autocommit=True,
    ) as second:
        found = await second.execute('SELECT owner FROM loans')
        assert await found.fetchall() == [('Maya',)]
        await second.execute(
            'INSERT INTO loans VALUES (2, $$a;b$$, 1); '
            'INSERT INTO loans VALUES (3, null, 1)',
        )
        with pytest.raises(psycopg.errors.UniqueViolation):
            await second.execute(
                'INSERT INTO loans VALUES (4, null, 1); '
                'INSERT INTO loans VALUES (1, null, 1)',
            )
        found = await second.execute('SELECT id, owner FROM loans ORDER BY id')
        rows = await found.fetchall()
        assert rows == [(1, 'Maya'), (2, 'a;b'), (3, None)]


async def _run_on_sqlalchemy(deployment):
    port = deployment.proxies[0].server.port
    await anyio.to_thread.run_sync(_run_statements_in_thread, port)


def _run_statements_in_thread(port):
    engine = create_engine(
        'postgresql+psycopg://sawari.ledger@127.0.0.1:{0}/loans'.format(port),
        connect_args={'sslmode': 'disable'},
        use_native_hstore=False,
    )
    with engine.begin() as connection:
        connection.execute(text(CREATE))
        connection.execute(
            text(INSERT.format(':id', ':owner', ':due')),
            [{'id': 1, 'owner': 'Maya', 'due': 1}],
        )
    with engine.connect() as connection:
        found = connection.execute(text('SELECT owner FROM loans'))
        assert found.scalars().all() == ['Maya']
    engine.dispose()


async def _repeat_request_key(deployment):
    """Submit a payment with one request key through both proxies."""
    answers = []
    for index in (0, 1, 0):
        connection = await asyncpg.connect(**deployment.address(index))
        if not answers:
            await connection.execute(CREATE)
            await connection.execute('INSERT INTO loans VALUES (1, null, 9)')
        await connection.execute("SET catkincrank.request_key = 'pay-1'")
        answers.append(
            await connection.fetch(
                'UPDATE loans SET due = due - 1 WHERE id = $1 RETURNING due',
                1,
            ),
        )
        with pytest.raises(asyncpg.PostgresError) as caught:
            await connection.execute('UPDATE loans SET due = 0')
        assert caught.value.sqlstate == '22000'
        await connection.close()
    assert [answer[0]['due'] for answer in answers] == [8, 8, 8]
    pruner = deployment.proxies[0].executor.runners.pruner
    assert await pruner.prune(GROUP) == 0
    expire_request_keys(deployment)
    assert await pruner.prune(GROUP) == 1


def expire_request_keys(deployment):
    proxy = deployment.proxies[0]
    service = proxy.catalog.find(GROUP)
    limits = msgspec.structs.replace(service.limits, key_retention_s=-60)
    changed = msgspec.structs.replace(service, limits=limits)
    proxy.apply_team('sawari', Team({'ledger': changed}))


async def _repeat_request_key_in_transaction(deployment):
    verdicts = []
    for index in (0, 1):
        connection = await asyncpg.connect(**deployment.address(index))
        if index == 0:
            await connection.execute(CREATE)
        try:
            async with connection.transaction():
                await connection.execute(
                    "SET LOCAL catkincrank.request_key = 'book-1'",
                )
                await connection.execute(
                    'INSERT INTO loans VALUES (1, null, 9)'
                )
        except asyncpg.PostgresError as error:
            verdicts.append(error.detail)
        await connection.close()
    assert verdicts == ['verdict: ran']


async def _cancel_waiting_statement(deployment):
    connection = await asyncpg.connect(**deployment.address())
    deployment.group.freeze('a')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_once_busy, deployment)
        with pytest.raises(asyncpg.QueryCanceledError) as caught:
            await connection.execute(CREATE)
    assert caught.value.detail == 'verdict: not run'
    deployment.group.resume('a')
    assert 'CREATE' in await connection.execute(CREATE)


async def _cancel_once_busy(deployment):
    (caller,) = deployment.proxies[0].server.connections
    while not caller.state.is_busy:
        await anyio.sleep(0.01)
    caller.request_cancel()


@pytest.mark.parametrize(
    'scenario',
    [
        _run_on_asyncpg,
        _run_on_psycopg,
        _run_on_sqlalchemy,
        _repeat_request_key,
        _repeat_request_key_in_transaction,
        _cancel_waiting_statement,
    ],
)
def test_scenario_runs_through_client_driver(scenario):
    async def run():
        async with deploy() as deployment:
            await scenario(deployment)

    anyio.run(run)
