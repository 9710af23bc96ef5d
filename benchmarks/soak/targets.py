"""What troubles strike, and how they are filed."""

from collections.abc import Awaitable, Callable, Collection

import anyio

from benchmarks.soak.networkfaults import EVERYONE, Harm, Wire
from benchmarks.soak.plan import Kind, Trouble, kinds
from benchmarks.soak.program import Program
from benchmarks.soak.testbed import World
from catkincrank.standins.memoryendpoints import MemoryEndpoint

__all__ = (
    'MAX_DELAY_S',
    'file_trouble',
    'harm_for',
    'pick_endpoint',
    'pick_harm',
    'pick_program',
)

MAX_DELAY_S = 0.3
_ONE_WAY = (
    Harm(holds_requests=True),
    Harm(holds_answers=True),
    Harm(holds_requests=True, holds_answers=True),
)
_PRIMARY_SHARE = 0.5
_Strike = Callable[[World, Trouble], Awaitable[str]]


def file_trouble(
    name: str,
    *,
    is_planned: bool = False,
) -> Callable[[_Strike], _Strike]:
    """Return a decorator that files a kind of trouble under ``name``."""

    def decorate(strike: _Strike) -> _Strike:  # noqa: WPS430
        kinds.register(name)(Kind(strike, is_planned))
        return strike

    return decorate


def pick_program(world: World, trouble: Trouble) -> Program:
    """Return the gateway that a trouble strikes."""
    return world.programs[int(trouble.choice * len(world.programs))]


def pick_endpoint(world: World, trouble: Trouble) -> MemoryEndpoint:
    """Return the endpoint that a trouble strikes; often the primary."""
    if trouble.strength < _PRIMARY_SHARE:
        return world.group.newest_primary
    endpoints = tuple(world.group.instances.values())
    return endpoints[int(trouble.choice * len(endpoints))]


def pick_harm(trouble: Trouble) -> Harm:
    """Return a cut, one way or both."""
    return _ONE_WAY[int(trouble.strength * len(_ONE_WAY))]


async def harm_for(
    wires: Collection[Wire],
    harm: Harm,
    for_s: float,
    name: str = EVERYONE,
) -> None:
    """Harm connections for a while."""
    for wire in wires:
        wire.harm(harm, name)
    await anyio.sleep(for_s)
    for mended in wires:
        mended.harm(None, name)
