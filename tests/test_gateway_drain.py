import socket

import anyio

from catkincrank.gateway.carrierservice import CarrierService
from catkincrank.gateway.drain import Drain
from catkincrank.gateway.options import Address, GatewayOptions
from catkincrank.metrics import Metrics
from tests.test_gateway_sessionserver import SlowExecution, Wire

NOWHERE = Address('127.0.0.1', 1)


class HeldExecution(SlowExecution):
    """Answers a statement once it is let go."""

    def __init__(self):
        self.started = anyio.Event()
        self.released = anyio.Event()

    async def run(self, session, route, statement):
        self.started.set()
        await self.released.wait()
        return await super().run(session, route, statement)


def find_port():
    with socket.socket() as found:
        found.bind(('127.0.0.1', 0))
        return found.getsockname()[1]


async def _leave():
    await anyio.sleep(0)


def test_a_statement_outlasts_the_listener():
    async def scenario():
        execution = HeldExecution()
        front = Wire(execution).front
        port = find_port()
        options = GatewayOptions(
            'vm',
            'zone',
            'region',
            Address('127.0.0.1', port),
            NOWHERE,
            NOWHERE,
            NOWHERE,
            '',
            '',
            grace_s=3,
        )
        carrier_service = CarrierService(None, None, Metrics())
        drain = Drain(front, carrier_service, options, _leave)
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
            found = b''
            while b'COMPLETE sig\r\nREADY I -\r\n' not in found:
                found += await stream.receive()
            await stream.aclose()

    anyio.run(scenario)
