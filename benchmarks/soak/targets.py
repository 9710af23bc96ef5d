"""Registration of disruptions and selection of their targets."""

from collections.abc import Awaitable, Callable, Collection

import anyio

from benchmarks.soak.networkfaults import (
    ALL_CLIENTS,
    FaultInjector,
    NetworkFault,
)
from benchmarks.soak.plan import Disruption, DisruptionKind, kinds
from benchmarks.soak.program import Program
from benchmarks.soak.testbed import Testbed
from catkincrank.standins.memoryendpoints import MemoryEndpoint

__all__ = (
    'MAX_DELAY_S',
    'register_disruption',
    'inject_fault',
    'pick_endpoint',
    'pick_fault',
    'pick_program',
)

MAX_DELAY_S = 0.3
_CUTS = (
    NetworkFault(holds_requests=True),
    NetworkFault(holds_answers=True),
    NetworkFault(holds_requests=True, holds_answers=True),
)
_PRIMARY_SHARE = 0.5
_Disrupt = Callable[[Testbed, Disruption], Awaitable[str]]


def register_disruption(
    name: str,
    *,
    is_planned: bool = False,
) -> Callable[[_Disrupt], _Disrupt]:
    """Return a decorator that registers a kind of disruption.

    Args:
        name: Name of the kind.
        is_planned: Whether it is planned work, which must cut no request.
    """

    def decorate(disrupt: _Disrupt) -> _Disrupt:  # noqa: WPS430
        kinds.register(name)(DisruptionKind(disrupt, is_planned))
        return disrupt

    return decorate


def pick_program(testbed: Testbed, disruption: Disruption) -> Program:
    """Return the gateway that a disruption affects."""
    return testbed.programs[int(disruption.choice * len(testbed.programs))]


def pick_endpoint(testbed: Testbed, disruption: Disruption) -> MemoryEndpoint:
    """Return the affected endpoint, with increased odds for the primary."""
    if disruption.strength < _PRIMARY_SHARE:
        return testbed.group.newest_primary
    endpoints = tuple(testbed.group.instances.values())
    return endpoints[int(disruption.choice * len(endpoints))]


def pick_fault(disruption: Disruption) -> NetworkFault:
    """Return a network cut in one direction or both."""
    return _CUTS[int(disruption.strength * len(_CUTS))]


async def inject_fault(
    injectors: Collection[FaultInjector],
    fault: NetworkFault,
    for_s: float,
    name: str = ALL_CLIENTS,
) -> None:
    """Inject a fault into connections and remove it after ``for_s``.

    Args:
        injectors: Injectors that forward the connections.
        fault: The fault.
        for_s: How long it lasts, in seconds.
        name: Client whose connections are affected.
    """
    for injector in injectors:
        injector.set_fault(fault, name)
    await anyio.sleep(for_s)
    for healed in injectors:
        healed.set_fault(None, name)
