"""Measures the write gaps of failovers in the model of the fault matrix.

Decisions are made by the product's code; network, instances and store are
modelled, so the machine's load has no influence. Prints one JSON object.
"""

import json
import statistics
import sys

from tests.failovermodel import Simulation
from tests.test_faults_failover import PRIMARY_FAULTS

_RUNS = 20
_FAULT_AT_S = 3.0
_SHIFT_PER_SEED_S = 0.037
_END_S = 10.0


def main() -> None:
    """Measure each fault of a primary with the store up and down."""
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
    simulation = Simulation(seed)
    simulation.store.behaviour = behaviour
    fault = PRIMARY_FAULTS[name]
    simulation.at(
        _FAULT_AT_S + seed * _SHIFT_PER_SEED_S, lambda: fault(simulation, None)
    )
    return simulation.run(_END_S).longest_gap()


if __name__ == '__main__':
    main()
