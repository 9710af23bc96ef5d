"""Faults of the network, proxies and callers; most heal by themselves."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import anyio

from catkincrank.records import ProcessChanged, ProcessState
from catkincrank.registry import Registry
from catkincrank.standins.scenario import Scenario

__all__ = ('Fault', 'faults', 'heal_later')

# Shorter than the 1 s after which the keeper suspects a primary.
_SHORT_FAULT_S = 0.6
_LONG_FAULT_S = 5

Fault: TypeAlias = Callable[[Scenario, str], Awaitable[None]]

faults: Registry[Fault] = Registry('fault')


def heal_later(
    scenario: Scenario,
    seconds: float,
    function: Callable[..., Any],
    *args: Any,
) -> None:
    """Call ``function`` after ``seconds``, and await its result if any."""

    async def run() -> None:  # noqa: WPS430
        await anyio.sleep(seconds)
        outcome = function(*args)
        if outcome is not None:
            await outcome

    scenario.tasks.start_soon(run)


@faults.register('cut_primary_from_replicas')
async def _cut_replicas(scenario: Scenario, origin: str) -> None:
    network = scenario.model.network
    network.isolate(scenario.find_primary(), scenario.model.servers)
    heal_later(scenario, _LONG_FAULT_S, network.heal)


@faults.register('cut_primary_from_callers')
async def _cut_callers(scenario: Scenario, origin: str) -> None:
    network = scenario.model.network
    network.isolate(scenario.find_primary(), scenario.proxies)
    heal_later(scenario, _LONG_FAULT_S, network.heal)


@faults.register('cut_primary_off')
async def _cut_off(scenario: Scenario, origin: str) -> None:
    others = (
        *scenario.model.servers,
        *scenario.proxies,
        scenario.keeper.name,
    )
    network = scenario.model.network
    network.isolate(scenario.find_primary(), others)
    heal_later(scenario, _LONG_FAULT_S, network.heal)


@faults.register('cut_primary_off_with_proxy')
async def _cut_off_with_proxy(scenario: Scenario, origin: str) -> None:
    """Leave the old primary and the proxy together in a minority."""
    network = scenario.model.network
    primary = scenario.find_primary()
    others = [name for name in scenario.model.servers if name != primary]
    others.append(scenario.keeper.name)
    network.isolate(primary, others)
    network.isolate(origin, others)
    heal_later(scenario, _LONG_FAULT_S, network.heal)


@faults.register('proxy_killed')
async def _kill_proxy(scenario: Scenario, origin: str) -> None:
    now = anyio.current_time()
    scenario.history.add(ProcessChanged(now, origin, ProcessState.KILLED))
    await scenario.proxies[origin].kill()
    heal_later(scenario, _SHORT_FAULT_S, scenario.start_proxy, origin)


@faults.register('proxy_paused')
async def _pause(scenario: Scenario, origin: str) -> None:
    """Pause the proxy while its primary is replaced."""
    scenario.model.network.pause(origin)
    scenario.keeper.is_replacement_forced = True
    heal_later(scenario, _LONG_FAULT_S, scenario.model.network.resume, origin)


@faults.register('connections_silent')
async def _silence(scenario: Scenario, origin: str) -> None:
    scenario.model.silence(origin)


@faults.register('answers_late')
async def _delay_answers(scenario: Scenario, origin: str) -> None:
    network = scenario.model.network
    network.isolate(origin, scenario.model.servers)
    heal_later(scenario, _SHORT_FAULT_S, network.heal)


@faults.register('caller_cancels')
async def _cancel(scenario: Scenario, origin: str) -> None:
    scenario.traffic.cancel(origin)
