"""Gaps of a failover as callers see them, in the model of the fault matrix.

The decisions are the product's; network, instances and store are modelled, so
the machine's load does not count. Prints one JSON object.
"""

import json
import statistics
import sys

from tests.failovermodel import Simulation
from tests.test_faults_failover import PRIMARY_FAULTS

_RUNS = 20
_BEGIN_S = 3.0
_SHIFT_S = 0.037
_END_S = 10.0


def main() -> None:
    """Measure each fault of a primary, with the store up and down."""
    figures = {
        '{0}, store {1}'.format(name, behaviour): measure(name, behaviour)
        for name in PRIMARY_FAULTS
        for behaviour in ('up', 'down')
    }
    sys.stdout.write('{0}\n'.format(json.dumps(figures, indent=2)))


def measure(name: str, behaviour: str) -> dict[str, float]:
    """Return the gaps of one fault over several runs, in seconds."""
    gaps = [_run(name, behaviour, seed) for seed in range(_RUNS)]
    return {
        'min_s': round(min(gaps), 2),
        'median_s': round(statistics.median(gaps), 2),
        'max_s': round(max(gaps), 2),
    }


def _run(name: str, behaviour: str, seed: int) -> float:
    world = Simulation(seed)
    world.store.behaviour = behaviour
    fault = PRIMARY_FAULTS[name]
    world.at(_BEGIN_S + seed * _SHIFT_S, lambda: fault(world, None))
    return world.run(_END_S).longest_gap()


if __name__ == '__main__':
    main()
