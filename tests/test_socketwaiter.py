import socket

import anyio
import pytest
from psycopg.waiting import Ready, Wait

from catkincrank.endpoints.socketwaiter import SocketWaiter


async def check_reads(near, far):
    readiness = SocketWaiter(near.fileno())
    for _ in range(3):
        far.send(b'x')
        assert await readiness.wait(Wait.R) is Ready.R
        assert near.recv(8) == b'x'
    readiness.close()


async def check_unasked_data_does_not_spin(near, far):
    readiness = SocketWaiter(near.fileno())
    far.send(b'x')
    await readiness.wait(Wait.R)
    near.recv(8)
    far.send(b'y')
    for _ in range(20):
        await anyio.sleep(0)
    assert not readiness._watches
    assert await readiness.wait(Wait.R) is Ready.R
    readiness.close()


async def check_cancelled_wait_does_not_spin(near, far):
    readiness = SocketWaiter(near.fileno())
    with anyio.move_on_after(0):
        await readiness.wait(Wait.R)
    far.send(b'x')
    for _ in range(20):
        await anyio.sleep(0)
    assert not readiness._watches


async def check_writes(near, far):
    readiness = SocketWaiter(near.fileno())
    assert await readiness.wait(Wait.W) is Ready.W
    assert await readiness.wait(Wait.RW) is Ready.RW


@pytest.mark.parametrize(
    'check',
    [
        check_reads,
        check_unasked_data_does_not_spin,
        check_cancelled_wait_does_not_spin,
        check_writes,
    ],
)
def test_readiness(check):
    async def main():
        near, far = socket.socketpair()
        with near, far, anyio.fail_after(10):
            near.setblocking(False)
            await check(near, far)

    anyio.run(main)
