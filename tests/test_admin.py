import json

import anyio
import httpx
import pytest

from catkincrank.admin import AdminHooks, AdminServer
from catkincrank.metrics import Metrics


def _make_server(obstacles=(), drain=None):
    metrics = Metrics()
    metrics.counter('events', 'Events.').inc()
    state = {'name': 'p1', 'password': 'x', 'age': 1.5}
    hooks = AdminHooks(lambda: state, lambda: list(obstacles), drain)
    return AdminServer(hooks, metrics)


@pytest.mark.parametrize(
    ('method', 'path', 'obstacles', 'status', 'expected'),
    [
        ('GET', '/state', (), 200, '"password":"***"'),
        ('GET', '/metrics', (), 200, 'catkincrank_events_total 1.0'),
        ('GET', '/health', ('no settings',), 200, 'true'),
        ('GET', '/ready', (), 200, '"ready":true'),
        ('GET', '/ready', ('no settings',), 503, 'no settings'),
        ('POST', '/state', (), 405, 'use GET'),
        ('GET', '/nothing', (), 404, '/drain'),
        ('GET', '/drain', (), 405, 'use POST'),
        ('POST', '/drain', (), 200, '2 transactions'),
    ],
)
def test_answers(method, path, obstacles, status, expected):
    server = _make_server(obstacles, lambda: ['2 transactions'])
    reply = anyio.run(server.answer, method, path)
    assert reply.status == status
    assert expected in reply.body.decode()


async def _fetch_state():
    async with anyio.create_task_group() as tasks:
        server = _make_server()
        port = await tasks.start(server.serve, '127.0.0.1', 0)
        async with httpx.AsyncClient(trust_env=False) as client:
            url = 'http://127.0.0.1:{0}'.format(port)
            state = await client.get(url + '/state')
            drain = await client.post(url + '/drain')
        tasks.cancel_scope.cancel()
    return state, drain


def test_over_a_socket():
    state, drain = anyio.run(_fetch_state)
    assert json.loads(state.content)['name'] == 'p1'
    assert drain.status_code == 404
