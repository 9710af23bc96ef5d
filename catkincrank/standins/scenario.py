"""Two proxies over a model group with callers whose requests are recorded."""

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
_NETWORK_DELAY_S = 0.001
_SHIPPING_DELAY_S = 0.01
_STATEMENT_S = 0.002
_DEADLINE_S = 12
_LIMITS = Limits(
    connections=6,
    control_connections=2,
    proxies=4,
    deadline_s=_DEADLINE_S,
)
_CREATE_PAYMENTS_SQL = (
    'CREATE TABLE payments '
    '(id text NOT NULL, account text NOT NULL, version bigint NOT NULL)'
)
_EFFECTS_SQL = 'SELECT id, account, version FROM payments'
_LOGIN = Credential('owner', '', 'postgres')
_SETTLE_INTERVAL_S = 0.25
_RECOVERY_TIMEOUT_S = 30


@final
@dataclass(frozen=True, slots=True)
class ScenarioOptions:
    """Options of a scenario.

    Attributes:
        seed: Seed of all random choices.
        acknowledgement: Name of the acknowledgement policy.
        callers: Number of callers.
        requests: Number of requests of each caller.
    """

    seed: int
    acknowledgement: str = 'replica'
    callers: int = 3
    requests: int = 5


@final
class Scenario:
    """A running scenario.

    Args:
        options: Its options.
        model: The group.
        tasks: Task group of the keeper, the proxies and the faults.

    Attributes:
        history: Records for the invariants.
        keeper: Replaces the primary.
        model: The group.
        proxies: Proxies by name.
        source: Random numbers of the faults.
        tasks: Task group of the keeper, the proxies and the faults.
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
        for sql in (_CREATE_PAYMENTS_SQL, CREATE_TABLE_SQL):
            await link.execute(sql)  # noqa: WPS476
        await link.close()
        self.tasks.start_soon(self.keeper.run)
        for name in _PROXIES:
            await self.start_proxy(name)  # noqa: WPS476
        await anyio.sleep(_SETTLE_INTERVAL_S)

    async def start_proxy(self, name: str) -> None:
        """Start a proxy, or replace a dead one by a new process."""
        proxy = ModelProxy(name, self.model, GROUP)
        self.proxies[name] = proxy
        await self.tasks.start(proxy.run, self.team)

    async def run_traffic(self) -> None:
        """Run the callers until each has made its requests."""
        async with anyio.create_task_group() as callers:
            for number in range(self._options.callers):
                name = 'caller{0}'.format(number)
                count = self._options.requests
                callers.start_soon(self.traffic.run_caller, name, count)

    async def recover(self) -> bool:
        """End all faults; return whether the group recovered in time."""
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
        with anyio.move_on_after(_RECOVERY_TIMEOUT_S):
            while not self._has_recovered():
                await anyio.sleep(_SETTLE_INTERVAL_S)
            return True
        return False

    def record_final_state(self) -> None:
        """Record the stored payments and the terms of the final primary."""
        name = self.find_primary()
        primary = self.model.servers[name].describe()
        self._collect_effects(name)
        for start in primary.history.starts[1:]:
            at = self.keeper.promoted_at.get(start.term, 0)
            began = TermBegan(at, GROUP, start.term, start.position)
            self.history.add(began)

    def find_primary(self) -> str:
        """Return the name of the primary with the newest term."""
        return max(
            (server.describe() for server in self.model.servers.values()),
            key=_rank_primary,
        ).endpoint

    def find_replica(self) -> str:
        """Return the name of a replica, chosen at random."""
        primary = self.find_primary()
        names = [name for name in self.model.servers if name != primary]
        return self.source.choice(names)

    def apply_leaving(self, name: str) -> None:
        """Apply settings that mark an endpoint as leaving."""
        self.team = self.make_team(self._options.acknowledgement, name)
        for proxy in self.proxies.values():
            if proxy.is_alive:
                proxy.apply(self.team)

    def make_team(self, policy: str, leaving: str = '') -> Team:
        """Return the settings; ``leaving`` names an endpoint to mark."""
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
        for payment, account, version in database.read(_EFFECTS_SQL, {}):
            request, key = self.traffic.attribute_effect(payment)
            self.history.add(EffectFound(request, account, version, key))

    def _has_recovered(self) -> bool:
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
    """Run a scenario until the context is left."""
    instances = InstanceOptions(
        connections=_LIMITS.connections,
        statement_s=_STATEMENT_S,
    )
    async with ModelGroup(options=instances, delay_s=_NETWORK_DELAY_S) as model:
        for name in ('b', 'c'):
            model.set_lag(name, _SHIPPING_DELAY_S)
        async with anyio.create_task_group() as tasks:
            scenario = Scenario(options, model, tasks)
            await scenario.start()
            yield scenario
            tasks.cancel_scope.cancel()
