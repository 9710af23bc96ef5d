"""Callers of two proxies over a model group, recorded for the invariants."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.acknowledgement import acknowledgements
from catkincrank.endpoint import Credential
from catkincrank.instance import InstanceStatus, Role
from catkincrank.records import EffectFound, RecordedHistory, TermBegan
from catkincrank.requestkeys import CREATE_TABLE_SQL
from catkincrank.settings import Endpoint, Limits, Service, Team
from catkincrank.standins.instance import InstanceOptions
from catkincrank.standins.modelgroup import ModelGroup
from catkincrank.standins.modelkeeper import ModelKeeper
from catkincrank.standins.modelproxy import ModelProxy
from catkincrank.standins.traffic import Traffic

__all__ = ('GROUP', 'Scenario', 'ScenarioOptions', 'open_scenario')

GROUP = 'sawari/ledger'
_TEAM = 'sawari'
_PROXIES = ('p1', 'p2')
_DELAY_S = 0.001
_SHIP_S = 0.01
_STATEMENT_S = 0.002
_DEADLINE_S = 12
_LIMITS = Limits(
    connections=6,
    control_connections=2,
    proxies=4,
    deadline_s=_DEADLINE_S,
)
_TABLE = (
    'CREATE TABLE payments '
    '(id text NOT NULL, account text NOT NULL, version bigint NOT NULL)'
)
_EFFECTS = 'SELECT id, account, version FROM payments'
_LOGIN = Credential('owner', '', 'postgres')
_SETTLE_STEP_S = 0.25
_SETTLE_LIMIT_S = 30


@final
@dataclass(frozen=True, slots=True)
class ScenarioOptions:
    """What a scenario is made of.

    Attributes:
        seed: Seed of all choices.
        acknowledgement: Name of the acknowledgement policy.
        callers: How many callers there are.
        requests: How many requests each makes.
    """

    seed: int
    acknowledgement: str = 'replica'
    callers: int = 3
    requests: int = 5


@final
class Scenario:
    """A running scenario.

    Args:
        options: What it is made of.
        model: The group.
        tasks: Runs its parts.

    Attributes:
        history: What was recorded.
        keeper: Replaces the primary.
        model: The group.
        proxies: Proxies by name.
        source: Random numbers of the faults.
        tasks: Runs its parts.
        team: Settings in force.
        traffic: The callers.
    """

    def __init__(
        self,
        options: ScenarioOptions,
        model: ModelGroup,
        tasks: TaskGroup,
    ) -> None:
        self.history = RecordedHistory()
        self.model = model
        self.source = random.Random(options.seed)
        self.tasks = tasks
        policy = acknowledgements.find(options.acknowledgement)
        self.keeper = ModelKeeper(model, policy.promotion_delay_s)
        self.proxies: dict[str, ModelProxy] = {}
        self.team = self.make_team(options.acknowledgement)
        self.traffic = Traffic(
            self.proxies,
            self.history,
            random.Random(options.seed),
            outlives_primary=policy.outlives_primary,
        )
        self._options = options

    async def start(self) -> None:
        """Create the tables; start the proxies and the keeper."""
        address = self.model.addresses()['a']
        link = await self.model.driver('owner').connect(
            address,
            _LOGIN,
            'owner',
        )
        for sql in (_TABLE, CREATE_TABLE_SQL):
            await link.execute(sql)  # noqa: WPS476
        await link.close()
        self.tasks.start_soon(self.keeper.run)
        for name in _PROXIES:
            await self.start_proxy(name)  # noqa: WPS476
        await anyio.sleep(_SETTLE_STEP_S)

    async def start_proxy(self, name: str) -> None:
        """Start a proxy, or a new process in place of a dead one."""
        proxy = ModelProxy(name, self.model, GROUP)
        self.proxies[name] = proxy
        await self.tasks.start(proxy.run, self.team)

    async def run_traffic(self) -> None:
        """Let the callers make their requests."""
        async with anyio.create_task_group() as callers:
            for number in range(self._options.callers):
                name = 'caller{0}'.format(number)
                count = self._options.requests
                callers.start_soon(self.traffic.run_caller, name, count)

    async def settle(self) -> bool:
        """End all faults; return whether the group became whole again."""
        self.model.network.heal()
        for name, proxy in tuple(self.proxies.items()):
            self.model.network.resume(name)
            if not proxy.is_alive:
                await self.start_proxy(name)  # noqa: WPS476
        for server in self.model.servers.values():
            instance = server.instance
            instance.resume()
            if not instance.is_serving:
                instance.start()
        with anyio.move_on_after(_SETTLE_LIMIT_S):
            while not self._is_whole():
                await anyio.sleep(_SETTLE_STEP_S)
            return True
        return False

    def collect(self) -> None:
        """Record the effects in the surviving log."""
        name = self.find_primary()
        primary = self.model.servers[name].describe()
        self._collect_effects(name)
        for start in primary.history.starts[1:]:
            at = self.keeper.promoted_at.get(start.term, 0)
            began = TermBegan(at, GROUP, start.term, start.position)
            self.history.add(began)

    def find_primary(self) -> str:
        """Return the name of the newest primary."""
        return max(
            (server.describe() for server in self.model.servers.values()),
            key=_rank_primary,
        ).endpoint

    def find_replica(self) -> str:
        """Return the name of a replica."""
        primary = self.find_primary()
        names = [name for name in self.model.servers if name != primary]
        return self.source.choice(names)

    def apply_leaving(self, name: str) -> None:
        """Bring settings into force by which an endpoint leaves."""
        self.team = self.make_team(self._options.acknowledgement, name)
        for proxy in self.proxies.values():
            if proxy.is_alive:
                proxy.apply(self.team)

    def make_team(self, policy: str, leaving: str = '') -> Team:
        """Return the settings, with an endpoint that leaves if given."""
        endpoints = tuple(
            Endpoint(
                name,
                'z{0}'.format(number),
                address.host,
                address.port,
                is_leaving=name == leaving,
            )
            for number, (name, address) in enumerate(
                self.model.addresses().items(),
            )
        )
        service = Service(
            endpoints,
            acknowledgement=policy,
            limits=_LIMITS,
        )
        return Team({GROUP.partition('/')[2]: service})

    def _collect_effects(self, endpoint: str) -> None:
        database = self.model.instance(endpoint).database
        for payment, account, version in database.read(_EFFECTS, {}):
            request, key = self.traffic.attribute(payment)
            self.history.add(EffectFound(request, account, version, key))

    def _is_whole(self) -> bool:
        statuses = [server.describe() for server in self.model.servers.values()]
        newest = max(status.term for status in statuses)
        primaries = [one for one in statuses if one.role is Role.PRIMARY]
        return len(primaries) == 1 and all(
            status.term == newest
            and not status.is_sealed
            and status.replayed == primaries[0].replayed
            for status in statuses
        )


def _rank_primary(status: InstanceStatus) -> tuple[bool, int]:
    return (status.role is Role.PRIMARY, status.term)


@asynccontextmanager
async def open_scenario(options: ScenarioOptions) -> AsyncIterator[Scenario]:
    """Run a scenario's parts until left."""
    instances = InstanceOptions(
        connections=_LIMITS.connections,
        statement_s=_STATEMENT_S,
    )
    async with ModelGroup(options=instances, delay_s=_DELAY_S) as model:
        for name in ('b', 'c'):
            model.set_lag(name, _SHIP_S)
        async with anyio.create_task_group() as tasks:
            scenario = Scenario(options, model, tasks)
            await scenario.start()
            yield scenario
            tasks.cancel_scope.cancel()
