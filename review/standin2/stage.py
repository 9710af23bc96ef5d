"""What every script has: the platform, its endpoints and three gateways."""

from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import final

import anyio
import msgspec
from anyio.abc import TaskGroup

from benchmarks.soak.networkfaults import FaultInjector
from catkincrank.platform.documents import (
    CONFIG_KEY,
    CONFIG_TABLE,
    ROSTER_TABLE,
)
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.platform.trial import ENDPOINTS, SERVICE, make_config
from review.standin2.cloud import Cloud
from review.standin2.gateways import GatewayProcess
from review.standin2.group import AsyncGroup

__all__ = ('LAPSE_S', 'PRIMARY', 'REPLICAS', 'Stage')

PRIMARY, *REPLICAS = ENDPOINTS
_GATEWAYS = ('vm-1', 'vm-2', 'vm-3')
_START_LIMIT_S = 40.0
# Registrations lapse after three heartbeat intervals.
LAPSE_S = 3.6


def _be_prompt(_call: int) -> float:
    """Return the usual delay of a call for a promotion."""
    return 0


@final
class Stage:
    """Stand-ins and gateways of a script.

    Args:
        folder: Directory of the gateways' settings and logs.
        promote_s: Time that a promotion takes, in seconds.
        sync_replicas: Replicas that receive a commit before it is acknowledged.
        choose_delay: Returns how long the call for a promotion with a number
            waits, in seconds; by default none does.

    Attributes:
        cloud: The platform's interface for promotions.
        events: What was done, one line each.
        gateways: The gateways.
        group: The endpoints.
        platform: The platform's store and the endpoints' ports.
    """

    def __init__(
        self,
        folder: Path,
        promote_s: float,
        sync_replicas: int = 0,
        choose_delay: Callable[[int], float] = _be_prompt,
    ) -> None:
        self._folder = folder
        self._injectors = {
            name: FaultInjector(partial(self._find_port, name))
            for name in ENDPOINTS
        }
        self.events: list[str] = []
        self.gateways: list[GatewayProcess] = []
        self.group = AsyncGroup(SERVICE, ENDPOINTS, promote_s)
        self.group.sync_replicas = sync_replicas
        self.platform = PlatformStandIn({SERVICE: self.group})
        self.cloud = Cloud(self.group, choose_delay)

    async def start(self, tasks: TaskGroup, stack: ExitStack) -> None:
        """Start everything; return once the gateways are ready.

        Raises:
            TimeoutError: They do not become ready.
        """
        await tasks.start(self.platform.run)
        await tasks.start(self.cloud.run)
        for injector in self._injectors.values():
            await tasks.start(injector.run)  # noqa: WPS476
        self.platform.redirect_endpoints(
            {name: one.port for name, one in self._injectors.items()}
        )
        config = make_config(sync_replicas=self.group.sync_replicas)
        self.platform.rows.write(CONFIG_TABLE, [], {CONFIG_KEY: config})
        self._start_gateways(stack)
        with anyio.fail_after(_START_LIMIT_S):
            for one in self.gateways:
                await one.wait_ready()  # noqa: WPS476

    async def end_process(self, endpoint_id: str) -> None:
        """End the process of an endpoint, and with it its connections."""
        self.group.instances[endpoint_id].is_up = False
        await self._injectors[endpoint_id].reset()
        self.note('{0} ends'.format(endpoint_id))

    async def let_lapse(self, endpoint_id: str) -> None:
        """Remove the registration of an endpoint that is down, when due."""
        await anyio.sleep(LAPSE_S)
        self._write_row(endpoint_id, None)
        self.note('the registration of {0} lapses'.format(endpoint_id))

    def register(self, endpoint_id: str) -> None:
        """Write the registration of an endpoint that has started."""
        instance = self.group.instances[endpoint_id]
        port = self._injectors[endpoint_id].port
        registration = {
            'service': SERVICE,
            'address': '127.0.0.1:{0}'.format(port),
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 3,
            'state': 'ready',
            'db_role': 'primary' if instance.is_primary else 'replica',
            'cold_remaining_ms': 0,
            'seq': 1,
            'born': instance.born_ms,
        }
        self._write_row(endpoint_id, msgspec.json.encode(registration))
        self.note('{0} has started and registers'.format(endpoint_id))

    def note(self, event: str) -> None:
        """Record an event."""
        self.events.append('{0:.3f} {1}'.format(anyio.current_time(), event))

    def describe(self) -> list[str]:
        """Return what was done and run, one line each."""
        return [
            *self.events,
            *(call.describe() for call in self.cloud.calls),
            *(one.describe() for one in self.group.leads),
            *(
                '{0:.3f} {1} run by {2} in term {3} at {4}'.format(
                    run.at,
                    run.request_id.decode('ascii'),
                    run.endpoint_id,
                    run.term,
                    run.position,
                )
                for run in self.platform.runs
            ),
        ]

    def _start_gateways(self, stack: ExitStack) -> None:
        for name in _GATEWAYS:
            gateway = GatewayProcess(
                name,
                self._folder,
                self.platform.ports['store'],
                self.cloud.port,
            )
            stack.callback(gateway.kill)
            gateway.start()
            self.gateways.append(gateway)

    def _write_row(self, endpoint_id: str, body: bytes | None) -> None:
        self.platform.rows.write(ROSTER_TABLE, [], {endpoint_id: body})

    def _find_port(self, name: str) -> int:
        return self.platform.ports[name]
