"""Faults of instances; importing this module registers them."""

import anyio

from catkincrank.records import LeavingChanged
from catkincrank.standins.modelfaults import faults, heal_later
from catkincrank.standins.scenario import Scenario

__all__ = ()

# Shorter than the 1 s after which the keeper suspects a primary.
_SHORT_FAULT_S = 0.6
_LONG_FAULT_S = 5
_LAG_S = 3


@faults.register('replicas_lag')
async def _lag(scenario: Scenario, origin: str) -> None:
    for name in scenario.model.servers:
        scenario.model.set_lag(name, _LAG_S, _LAG_S / 2)
        heal_later(scenario, _LONG_FAULT_S, scenario.model.set_lag, name, 0)


@faults.register('primary_killed')
async def _kill(scenario: Scenario, origin: str) -> None:
    primary = scenario.find_primary()
    scenario.model.kill(primary)
    heal_later(scenario, _LONG_FAULT_S, scenario.model.restart, primary)


@faults.register('primary_restarted')
async def _restart(scenario: Scenario, origin: str) -> None:
    primary = scenario.find_primary()
    scenario.model.kill(primary)
    scenario.model.restart(primary)


@faults.register('primary_frozen')
async def _freeze(scenario: Scenario, origin: str) -> None:
    primary = scenario.find_primary()
    scenario.model.freeze(primary)
    heal_later(scenario, _LONG_FAULT_S, scenario.model.resume, primary)


@faults.register('primary_stalls')
async def _stall(scenario: Scenario, origin: str) -> None:
    primary = scenario.find_primary()
    scenario.model.freeze(primary)
    heal_later(scenario, _SHORT_FAULT_S, scenario.model.resume, primary)


@faults.register('primary_replaced')
async def _replace(scenario: Scenario, origin: str) -> None:
    scenario.keeper.is_replacement_forced = True


@faults.register('replica_killed')
async def _kill_replica(scenario: Scenario, origin: str) -> None:
    name = scenario.find_replica()
    scenario.model.kill(name)
    heal_later(scenario, _LONG_FAULT_S, scenario.model.restart, name)


@faults.register('replica_leaves')
async def _leave(scenario: Scenario, origin: str) -> None:
    name = scenario.find_replica()
    scenario.history.add(LeavingChanged(anyio.current_time(), name, True))
    scenario.apply_leaving(name)
