import anyio
import pytest

from catkincrank.standins.wire import Wire


async def serve_echo(stream):
    async with stream:
        async for chunk in stream:
            await stream.send(chunk)


async def send_and_receive(stream, text=b'ping'):
    await stream.send(text)
    with anyio.fail_after(5):
        return await stream.receive()


async def run_with_echo_server(check):
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve_echo)
        wire = Wire('127.0.0.1', port, delay_s=0.001)
        await wire.start()
        await check(wire)
        wire.stop()
        tasks.cancel_scope.cancel()


async def gets_no_answer(stream):
    await stream.send(b'x')
    with anyio.move_on_after(0.05):
        await stream.receive()
        return False
    return True


async def check_cut_connections_stay_silent(wire):
    old = await anyio.connect_tcp('127.0.0.1', wire.port)
    assert await send_and_receive(old) == b'ping'
    wire.cut()
    during = await anyio.connect_tcp('127.0.0.1', wire.port)
    assert await gets_no_answer(old) and await gets_no_answer(during)
    wire.heal()
    assert await gets_no_answer(old) and await gets_no_answer(during)
    new = await anyio.connect_tcp('127.0.0.1', wire.port)
    assert await send_and_receive(new) == b'ping'


async def check_reset_ends_open_connections(wire):
    old = await anyio.connect_tcp('127.0.0.1', wire.port)
    assert await send_and_receive(old) == b'ping'
    wire.reset()
    with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
        await send_and_receive(old)


async def check_chunks_keep_their_order(wire):
    stream = await anyio.connect_tcp('127.0.0.1', wire.port)
    sent = b''.join(b'%06d' % number for number in range(20000))
    back = bytearray()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream.send, sent)
        while len(back) < len(sent):
            back.extend(await stream.receive())
    assert back == sent


@pytest.mark.parametrize(
    'check',
    [
        check_cut_connections_stay_silent,
        check_reset_ends_open_connections,
        check_chunks_keep_their_order,
    ],
)
def test_wire_relays_in_order_and_injects_faults(check):
    anyio.run(run_with_echo_server, check)
