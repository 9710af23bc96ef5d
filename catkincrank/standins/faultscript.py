"""Faults that a script strikes a deployment with, by name."""

from collections.abc import Awaitable, Callable
from typing import final

import anyio
import msgspec

from catkincrank.load.profile import FaultStep
from catkincrank.records import (
    DrainBegan,
    LeavingChanged,
    ProcessChanged,
    ProcessState,
    RecordedHistory,
    SettingsAccepted,
)
from catkincrank.registry import Registry
from catkincrank.standins.deployment import Deployment
from catkincrank.store import Row

__all__ = ('FaultScript', 'faults')

_Fault = Callable[['FaultScript', FaultStep], Awaitable[None]]
faults: Registry[_Fault] = Registry('fault')


@final
class FaultScript:
    """Strikes a deployment at the times of a timeline.

    Args:
        deployment: What to strike.
        history: Takes the records.

    Attributes:
        struck: Primary that each service lost last.
        log: Steps taken and when, on the runtime's clock.
    """

    def __init__(
        self,
        deployment: Deployment,
        history: RecordedHistory,
    ) -> None:
        self.deployment = deployment
        self.history = history
        self.struck: dict[str, str] = {}
        self.log: list[tuple[float, FaultStep]] = []

    async def run(self, started_at: float) -> None:
        """Take every step of the profile at its time."""
        for step in self.deployment.profile.faults:
            await anyio.sleep_until(started_at + step.at_s)  # noqa: WPS476
            await self.strike(step)  # noqa: WPS476

    async def strike(self, step: FaultStep) -> None:
        """Take one step now."""
        self.log.append((anyio.current_time(), step))
        await faults.find(step.action)(self, step)

    def record_settings(self, row: Row) -> None:
        """Record that the store accepted a version of the settings."""
        self.history.add(
            SettingsAccepted(
                anyio.current_time(),
                self.deployment.profile.team,
                row.version,
                row.change_id,
            ),
        )

    def name_group(self, step: FaultStep) -> str:
        """Return the group that a step strikes."""
        team = self.deployment.profile.team
        return '{0}/{1}'.format(team, step.service)


@faults.register('kill_primary')
async def _kill_primary(script: FaultScript, step: FaultStep) -> None:
    group = script.deployment.groups[script.name_group(step)]
    script.struck[step.service] = group.primary
    group.kill(group.primary)


@faults.register('freeze_primary')
async def _freeze_primary(script: FaultScript, step: FaultStep) -> None:
    group = script.deployment.groups[script.name_group(step)]
    script.struck[step.service] = group.primary
    group.freeze(group.primary)


@faults.register('resume')
async def _resume(script: FaultScript, step: FaultStep) -> None:
    group = script.deployment.groups[script.name_group(step)]
    group.resume(script.struck[step.service])


@faults.register('restart')
async def _restart(script: FaultScript, step: FaultStep) -> None:
    group = script.deployment.groups[script.name_group(step)]
    await group.restart(script.struck[step.service])


@faults.register('partition_primary')
async def _partition_primary(script: FaultScript, step: FaultStep) -> None:
    """Cut a primary from its replicas and from callers in other zones."""
    name = script.name_group(step)
    group = script.deployment.groups[name]
    primary = group.primary
    script.struck[step.service] = primary
    for other in group.addresses():
        if other != primary:
            group.cut(primary, other)
    for wire in script.deployment.find_wires(name, primary):
        wire.cut()


@faults.register('heal')
async def _heal(script: FaultScript, step: FaultStep) -> None:
    name = script.name_group(step)
    script.deployment.groups[name].heal()
    for wire in script.deployment.find_wires(name, script.struck[step.service]):
        wire.heal()


@faults.register('drain')
async def _drain(script: FaultScript, step: FaultStep) -> None:
    script.history.add(DrainBegan(anyio.current_time(), step.proxy))
    script.deployment.proxies[step.proxy].request_drain()


@faults.register('kill_proxy')
async def _kill_proxy(script: FaultScript, step: FaultStep) -> None:
    script.history.add(
        ProcessChanged(
            anyio.current_time(),
            step.proxy,
            ProcessState.KILLED,
        ),
    )
    script.deployment.kill_process(step.proxy)


@faults.register('store_down')
async def _stop_store(script: FaultScript, step: FaultStep) -> None:
    script.deployment.platform.faults.is_down = True


@faults.register('store_up')
async def _start_store(script: FaultScript, step: FaultStep) -> None:
    script.deployment.platform.faults.is_down = False


@faults.register('change_settings')
async def _change_settings(script: FaultScript, step: FaultStep) -> None:
    team = script.deployment.team
    changed = msgspec.structs.replace(team, weight=team.weight + 1)
    row = await script.deployment.change_settings(changed)
    script.record_settings(row)


@faults.register('leave')
async def _leave(script: FaultScript, step: FaultStep) -> None:
    """Mark a replica of a service as leaving."""
    name = script.name_group(step)
    team = script.deployment.team
    service = team.services[step.service]
    primary = script.deployment.groups[name].primary
    leaving = next(one for one in service.endpoints if one.name != primary)
    endpoints = tuple(
        msgspec.structs.replace(one, is_leaving=one is leaving)
        for one in service.endpoints
    )
    changed = msgspec.structs.replace(service, endpoints=endpoints)
    services = {**team.services, step.service: changed}
    row = await script.deployment.change_settings(
        msgspec.structs.replace(team, services=services),
    )
    script.record_settings(row)
    endpoint = '{0}/{1}'.format(name, leaving.name)
    script.history.add(
        LeavingChanged(anyio.current_time(), endpoint, is_leaving=True),
    )
