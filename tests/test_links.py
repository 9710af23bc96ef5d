import struct

import anyio
import pytest
from loguru import logger

from catkincrank.errors import MessageError
from catkincrank.links import Link, LinkClosedError, dial, listen, serve_link
from catkincrank.messages import FeedRequest, Hello, encode_message
from tests import virtualtime
from tests.links import make_pair, make_streams

HELLO = Hello('vm1', 'kathmandu', 'keeper', 'x')
FRAME = struct.pack('!I', len(encode_message(HELLO))) + encode_message(HELLO)


@pytest.mark.parametrize(
    'invalid',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        struct.pack('!I', 2**21) + b'x' * 100,
        struct.pack('!I', 16) + b'\xff' * 16,
        struct.pack('!I', 0),
        struct.pack('!I', 7) + b'garbage',
    ],
)
def test_invalid_frame_closes_the_link(invalid):
    async def scenario():
        near, far = make_streams()
        link = Link(near)
        await far.send(FRAME + invalid)
        assert await link.receive() == HELLO
        with pytest.raises(MessageError):
            await link.receive()
        with pytest.raises(LinkClosedError):
            await link.send(HELLO)

    virtualtime.run(scenario)


def test_message_is_read_from_single_bytes():
    async def scenario():
        near, far = make_streams()
        for byte in FRAME:
            await far.send(bytes([byte]))
        assert await Link(near).receive() == HELLO

    virtualtime.run(scenario)


@pytest.mark.parametrize(('has_heartbeats', 'expected'), [(1, 60), (0, 2)])
def test_silent_link_closes_unless_heartbeats_arrive(has_heartbeats, expected):
    async def scenario():
        near, far = make_pair(silence_limit_s=2)
        far.heartbeat_interval_s = 0.5
        async with anyio.create_task_group() as tasks:
            if has_heartbeats:
                tasks.start_soon(far.run_heartbeats)
            with anyio.move_on_after(60):
                with pytest.raises(LinkClosedError, match='silent'):
                    await near.receive()
            tasks.cancel_scope.cancel()
        return anyio.current_time()

    assert virtualtime.run(scenario) == pytest.approx(expected)


def test_blocked_send_times_out_and_closes_the_link():
    async def scenario():
        near, _ = make_pair(capacity=0)
        with pytest.raises(LinkClosedError):
            await near.send(HELLO)

    virtualtime.run(scenario)


def test_invalid_peer_does_not_disturb_other_links_over_tcp():
    async def echo(link):
        while True:
            await link.send(await link.receive())

    async def scenario():
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(listen, '127.0.0.1', 0, echo)
            bad = await anyio.connect_tcp('127.0.0.1', port)
            await bad.send(b'\0\0\0\4junk')
            link = await dial('127.0.0.1', port, 5)
            request = FeedRequest(('sawari/ledger',), 1.5)
            await link.send(request)
            assert await link.receive() == request
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await bad.receive()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_other_errors_of_the_handler_are_logged_and_close_the_link():
    """They used to end the task that accepts links, and so the process."""
    lines = []
    sink = logger.add(lines.append, format='{extra[event]} {extra[cause]}')

    async def fail(link):
        raise KeyError('unexpected')

    async def scenario():
        near, far = make_pair()
        await serve_link(near, fail)
        with pytest.raises(LinkClosedError):
            await far.receive()

    try:
        virtualtime.run(scenario)
    finally:
        logger.remove(sink)
    assert lines == ["link_failed KeyError('unexpected')\n"]
