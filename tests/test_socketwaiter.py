import socket

import anyio
import pytest
from psycopg.waiting import Ready, Wait

from catkincrank.endpoints.socketwaiter import SocketWaiter


async def check_repeated_reads(near, far):
    waiter = SocketWaiter(near.fileno())
    for _ in range(3):
        far.send(b'x')
        assert await waiter.wait(Wait.R) is Ready.R
        assert near.recv(8) == b'x'
    waiter.close()


async def check_unsolicited_data_removes_reader(near, far):
    waiter = SocketWaiter(near.fileno())
    far.send(b'x')
    await waiter.wait(Wait.R)
    near.recv(8)
    far.send(b'y')
    for _ in range(20):
        await anyio.sleep(0)
    assert not waiter._has_reader
    assert await waiter.wait(Wait.R) is Ready.R
    waiter.close()


async def check_cancelled_wait_removes_reader(near, far):
    waiter = SocketWaiter(near.fileno())
    with anyio.move_on_after(0):
        await waiter.wait(Wait.R)
    far.send(b'x')
    for _ in range(20):
        await anyio.sleep(0)
    assert not waiter._has_reader


async def check_writable(near, far):
    waiter = SocketWaiter(near.fileno())
    assert await waiter.wait(Wait.W) is Ready.W
    assert await waiter.wait(Wait.RW) is Ready.RW


@pytest.mark.parametrize(
    'check',
    [
        check_repeated_reads,
        check_unsolicited_data_removes_reader,
        check_cancelled_wait_removes_reader,
        check_writable,
    ],
)
def test_socket_waiter_reports_readiness_and_removes_reader(check):
    async def main():
        near, far = socket.socketpair()
        with near, far, anyio.fail_after(10):
            near.setblocking(False)
            await check(near, far)

    anyio.run(main)
