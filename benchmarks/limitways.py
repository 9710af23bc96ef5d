"""Compares ways of keeping the limits of organisations under losses.

Usage: ``python -m benchmarks.limitways``. Prints, for each way and event, the
part of the operations below their limit that were refused, by seed. Runs on
stand-ins in virtual time.
"""

import sys
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType
from typing import Any, Final

import anyio
from loguru import logger

from catkincrank.gateway.organisations import (
    shardassignment,
    shardrecords,
    tokenissuer,
)
from tests import virtualtime
from tests.shardfleet import EarlierNode, ShardFleet
from tests.test_load_limit_shards import EVENTS, NAMES

__all__ = ()

_LIMITS: Final[Mapping[str, tuple[float, float]]] = MappingProxyType(
    {'small': (5, 5), 'large': (45, 45)}
)
# Callers ask for this part of the limit on average, at random times.
_PARTS = (0.6,)
_SEEDS = (1, 2, 3)
_SHARDS = (4, 8)
_LOAD_S = 16
_SETTLE_S = 6


@contextmanager
def use_shards(count: int) -> Iterator[None]:
    """Divide limits into a number of shards."""
    modules: tuple[Any, ...] = (shardassignment, shardrecords, tokenissuer)
    before = shardrecords.SHARDS
    for module in modules:
        module.SHARDS = count
    try:
        yield
    finally:
        for module in modules:
            module.SHARDS = before


def measure(
    way: int, event: Callable[[ShardFleet], Any], part: float, seed: int
) -> str:
    """Return the refused part of small and large limits, in per cent.

    Args:
        way: Number of shards; 0 for shares of the lease holder.
        event: What happens to the fleet.
        part: Part of the limit that is requested.
        seed: Seed of the load.
    """
    with use_shards(way or shardrecords.SHARDS):
        return virtualtime.run(_play, way, event, part, seed)


async def _play(
    way: int, event: Callable[[ShardFleet], Any], part: float, seed: int
) -> str:
    async with anyio.create_task_group() as tasks:
        fleet = ShardFleet(tasks, dict(_LIMITS))
        fleet.seed(seed)
        if not way:
            fleet.features = ()
            fleet.make_node = EarlierNode
        fleet.start(*NAMES)
        await anyio.sleep(_SETTLE_S)
        async with anyio.create_task_group() as loads:
            for name, (rate, _) in _LIMITS.items():
                loads.start_soon(fleet.load, name, rate * part, _LOAD_S)
            await anyio.sleep(2)
            await event(fleet)
        counts = map(fleet.count, _LIMITS)
        tasks.cancel_scope.cancel()
    return ' '.join(
        '{0:5.1f}'.format(100 * refused / max(1, admitted + refused))
        for admitted, refused in counts
    )


def main() -> None:
    """Print the table."""
    logger.remove()
    sys.stdout.write('way, event, part: small large, by seed\n')
    for event in EVENTS:
        for part in _PARTS:
            for way in (0, *_SHARDS):
                name = '{0} shards'.format(way) if way else 'shares'
                found = [measure(way, event, part, seed) for seed in _SEEDS]
                sys.stdout.write(
                    '{0:10} {1:14} {2}: {3}\n'.format(
                        name, event.__name__, part, ' | '.join(found)
                    )
                )
                sys.stdout.flush()


if __name__ == '__main__':
    main()
