"""Measures the processor time of a keeper while writes wait for replicas.

``python -m benchmarks.busykeeper`` prints one JSON object.
"""

import sys

import anyio
import msgspec

from benchmarks.processcosts import measure_busy_keeper

__all__ = ('main',)


def main() -> None:
    """Run the measurement and print the result."""
    cost = anyio.run(measure_busy_keeper)
    sys.stdout.write(msgspec.json.encode(cost).decode())
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
