import anyio
import pytest

from catkincrank.standins.wire import Wire


async def serve_echo(stream):
    async with stream:
        async for chunk in stream:
            await stream.send(chunk)


async def ask(stream, text=b'ping'):
    await stream.send(text)
    with anyio.fail_after(5):
        return await stream.receive()


async def with_wire(function):
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve_echo)
        wire = Wire('127.0.0.1', port, delay_s=0.001)
        await wire.start()
        await function(wire)
        wire.stop()
        tasks.cancel_scope.cancel()


async def is_silent(stream):
    await stream.send(b'x')
    with anyio.move_on_after(0.05):
        await stream.receive()
        return False
    return True


async def check_cut(wire):
    old = await anyio.connect_tcp('127.0.0.1', wire.port)
    assert await ask(old) == b'ping'
    wire.cut()
    during = await anyio.connect_tcp('127.0.0.1', wire.port)
    assert await is_silent(old) and await is_silent(during)
    wire.heal()
    assert await is_silent(old) and await is_silent(during)
    new = await anyio.connect_tcp('127.0.0.1', wire.port)
    assert await ask(new) == b'ping'


async def check_reset(wire):
    old = await anyio.connect_tcp('127.0.0.1', wire.port)
    assert await ask(old) == b'ping'
    wire.reset()
    with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
        await ask(old)


async def check_order(wire):
    stream = await anyio.connect_tcp('127.0.0.1', wire.port)
    sent = b''.join(b'%06d' % number for number in range(20000))
    back = bytearray()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream.send, sent)
        while len(back) < len(sent):
            back.extend(await stream.receive())
    assert back == sent


@pytest.mark.parametrize('check', [check_cut, check_reset, check_order])
def test_wire(check):
    anyio.run(with_wire, check)
