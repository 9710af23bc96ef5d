"""In-memory driver of scripted instances, for keeper tests."""

import anyio

from catkincrank.endpoint import Driver, EndpointConnection
from catkincrank.errors import EndpointError
from catkincrank.history import History, TermStart
from catkincrank.instance import InstanceStatus, Role


class FakeInstance:
    """One scripted instance.

    Attributes:
        status: The status that it reports.
        behaviour: ``up``, ``frozen`` (never answers) or ``down``.
        connects: Number of connections opened.
        silent: Connections that never answer again.
        reads: Number of statuses read.
    """

    def __init__(self, name: str, role: Role = Role.REPLICA) -> None:
        history = History((TermStart(1, 0),))
        self.status = InstanceStatus(name, 'i1', role, history, 10, 10)
        self.behaviour = 'up'
        self.connects = 0
        self.reads = 0
        self.silent = set()

    async def simulate_call(self):
        """Answer, refuse or hang, as ``behaviour`` says."""
        if self.behaviour == 'down':
            raise EndpointError('refused', was_sent=False)
        if self.behaviour == 'frozen':
            await anyio.sleep_forever()
        await anyio.sleep(0.001)


class FakeConnection(EndpointConnection):
    incarnation = 'i1'
    execute = describe = commit = None
    seal = promote = follow = terminate = None
    transaction = None

    def __init__(self, instance):
        self.instance = instance

    async def fetch_status(self):
        await self.instance.simulate_call()
        if self in self.instance.silent:
            await anyio.sleep_forever()
        self.instance.reads += 1
        return self.instance.status

    async def close(self):
        self.instance.silent.discard(self)


class FakeDriver(Driver):
    instances = {}

    async def connect(self, address, credential, application):
        instance = self.instances[address.endpoint]
        await instance.simulate_call()
        instance.connects += 1
        instance.connection = FakeConnection(instance)
        return instance.connection
