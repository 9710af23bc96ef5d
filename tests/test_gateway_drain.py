import socket

import anyio

from catkincrank.gateway.carrierservice import CarrierService
from catkincrank.gateway.drain import Drain
from catkincrank.gateway.options import Address, GatewayOptions
from catkincrank.metrics import Metrics
from tests.test_gateway_sessionserver import CallerConnection, SlowExecution

UNUSED_ADDRESS = Address('127.0.0.1', 1)


class BlockedExecution(SlowExecution):
    """Answers a statement once ``released`` is set."""

    def __init__(self):
        self.started = anyio.Event()
        self.released = anyio.Event()

    async def run(self, session, route, statement):
        self.started.set()
        await self.released.wait()
        return await super().run(session, route, statement)


def find_port():
    with socket.socket() as received:
        received.bind(('127.0.0.1', 0))
        return received.getsockname()[1]


async def _leave_fleet():
    await anyio.sleep(0)


def test_statement_running_at_drain_is_answered_after_listener_closes():
    async def scenario():
        execution = BlockedExecution()
        session_server = CallerConnection(execution).session_server
        port = find_port()
        options = GatewayOptions(
            'vm',
            'zone',
            'region',
            Address('127.0.0.1', port),
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            '',
            '',
            grace_s=3,
        )
        carrier_service = CarrierService(None, None, Metrics())
        drain = Drain(session_server, carrier_service, options, _leave_fleet)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain.run)
            while not drain.is_listening:
                await anyio.sleep(0.01)
            stream = await anyio.connect_tcp('127.0.0.1', port)
            await stream.send(b'STARTUP db u\r\nQUERY 1 READ k\r\n')
            await execution.started.wait()
            drain.start()
            while drain.is_listening:
                await anyio.sleep(0.01)
            execution.released.set()
            received = b''
            while b'COMPLETE sig\r\nREADY I -\r\n' not in received:
                received += await stream.receive()
            await stream.aclose()

    anyio.run(scenario)
