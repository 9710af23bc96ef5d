"""No output of a gateway contains a caller's key."""

import asyncio
import json

import anyio
import pytest
from loguru import logger

from catkincrank.gateway.daemon import Gateway
from catkincrank.gateway.options import Address, GatewayOptions
from catkincrank.gateway.organisations.keys import digest_key
from catkincrank.httpclient import HttpClient
from catkincrank.platform.program import ADAPTER, DOCUMENTS
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.platform.trial import make_config
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup
from tests.test_gateway_drain import find_port

KEY = 'abd0a7c1-of-an-organisation'
UNKNOWN_KEY = 'f3318e20-of-nobody'
MARKS = (b'abd0a7c1', b'f3318e20')
ORGANISATION = {'name': 'o', 'api_keys': [KEY], 'rate_per_s': 5, 'burst': 5}
MISPLACED = {**ORGANISATION, 'name': KEY, 'rate_per_s': -1}


class Recorder:
    """Records what the process writes to sockets and to its log.

    Streams of ``asyncio`` are not recorded, so callers use those.
    """

    def __init__(self):
        self.sent = b''
        self.lines = ''

    async def record_streams(self, monkeypatch):
        async with await anyio.create_tcp_listener(
            local_host='127.0.0.1'
        ) as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            stream = await anyio.connect_tcp('127.0.0.1', port)
            await stream.aclose()
        kind = type(stream)
        send = kind.send

        async def record(stream, item):
            self.sent += item
            await send(stream, item)

        monkeypatch.setattr(kind, 'send', record)


async def _converse(port, *lines):
    """Send lines; return what a caller received until the connection ended."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    received = b''
    for line in lines:
        writer.write(line.encode() + b'\r\n')
        try:
            async with asyncio.timeout(0.3):
                while found := await reader.read(65536):
                    received += found
        except TimeoutError:
            continue
    writer.close()
    return received


async def _start(platform, tasks, name):
    addresses = [Address('127.0.0.1', find_port()) for _ in range(4)]
    store, promote = (
        '127.0.0.1:{0}'.format(platform.ports[part])
        for part in ('store', 'promote')
    )
    options = GatewayOptions(name, 'z', 'r', *addresses, store, promote)

    async def run():
        async with anyio.create_task_group() as own:
            await Gateway(options, ADAPTER, DOCUMENTS, own).run()

    tasks.start_soon(run)
    return options


async def _await_listener(options):
    while True:
        try:
            stream = await anyio.connect_tcp('127.0.0.1', options.callers.port)
        except OSError:
            await anyio.sleep(0.05)
            continue
        await stream.aclose()
        return


async def _await_relay(platform, recorder):
    """Change the configuration until one process passes it to the other."""
    digest = digest_key(KEY.encode()).hex().encode()
    for version in range(2, 50):
        body = make_config(version, organisations=[ORGANISATION])
        platform.rows.write('op', [], {'config': body})
        await anyio.sleep(0.5)
        if any(mark in recorder.sent for mark in (digest, *MARKS)):
            return
    raise AssertionError('the configuration was not passed on')


async def _use(platform, options):
    """Use known, unknown, misplaced and withdrawn keys."""
    port = options.callers.port
    received = await _converse(
        port,
        'STARTUP strong ' + KEY,
        'QUERY 1 READ k',
        'QUERY 2 BEGIN',
        'QUERY 3 WRITE k v',
        'QUERY 4 COMMIT',
        'QUERY 5 NONSENSE',
    )
    assert received.count(b'COMPLETE') == 4
    received += await _converse(port, 'STARTUP strong ' + UNKNOWN_KEY)
    assert b'ERROR DENIED' in received
    received += await _converse(port, 'STARTUP {0} strong'.format(KEY))
    assert b'ERROR NODATABASE' in received
    body = make_config(50, organisations=[MISPLACED])
    platform.rows.write('op', [], {'config': body})
    async with asyncio.TaskGroup() as tasks:
        conversation = tasks.create_task(
            _converse(
                port,
                'STARTUP strong ' + KEY,
                'QUERY 6 BEGIN',
                *('QUERY 7{0} READ k'.format(step) for step in range(8)),
            )
        )
        await asyncio.sleep(1)
        body = make_config(51, organisations=[])
        platform.rows.write('op', [], {'config': body})
    received += conversation.result()
    assert b'ERROR ABORTED the key was withdrawn' in received
    return received


@pytest.mark.timeout(60)
def test_no_output_of_a_gateway_contains_a_key(monkeypatch):
    """Guards against keys in logs, metrics, dumps, messages and errors.

    Processes passed each other the configuration as the store holds it.
    """
    recorder = Recorder()

    def write(line):
        recorder.lines += line

    async def scenario():
        await recorder.record_streams(monkeypatch)
        platform = PlatformStandIn(
            {'ledger': MemoryEndpointGroup('ledger', ('i-a', 'i-b', 'i-c'))}
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(platform.run)
            body = make_config(organisations=[ORGANISATION])
            platform.rows.write('op', [], {'config': body})
            gateways = [
                await _start(platform, tasks, name) for name in ('vm-1', 'vm-2')
            ]
            for options in gateways:
                await _await_listener(options)
            await _await_relay(platform, recorder)
            received = await _use(platform, gateways[0])
            dumps = b''
            for path in ('/metrics', '/state'):
                answer = await HttpClient(
                    'http://127.0.0.1:{0}'.format(gateways[0].metrics.port)
                ).request('GET', path)
                dumps += answer.body
            tasks.cancel_scope.cancel()
        return received + dumps, platform.runs

    handler = logger.add(write, level=0, serialize=True)
    try:
        received, runs = anyio.run(scenario)
    finally:
        logger.remove(handler)
    events = {
        json.loads(line)['record']['extra'].get('event')
        for line in recorder.lines.splitlines()
    }
    # The run contained what could show a key.
    assert {
        'session_denied',
        'database_unknown',
        'configuration_unreadable',
        'keys_withdrawn',
        'request_refused',
    } <= events
    assert b'catkincrank_denied_sessions_total 1.0' in received
    assert runs
    for output in (recorder.sent, recorder.lines.encode(), received):
        assert not any(mark in output for mark in MARKS)
