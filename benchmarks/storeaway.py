"""Measures a group's service while the store is away and its primary runs.

The lease holder is lost with the store, so that grants expire and nobody renews
them. Decisions are made by the product's code; the endpoints are stand-ins, and
the clock is virtual, so the machine's load has no influence. Prints one JSON
object, with proofs by the endpoints and without.
"""

import json
import statistics
import sys

import anyio
from loguru import logger

from tests import virtualtime
from tests.gatewaypath import RequestPath

_OUTAGE_S = 60.0
_GRANT_S = 2.5
_INTERVAL_S = 0.2
# One round trip between regions and the work of a statement.
_WORK_S = 0.04
_SCRIPTS = (
    ('strong', b'WRITE k v'),
    ('strong', b'READ k'),
    ('bounded', b'READ k'),
)


class _Load:
    """Callers that each send one statement several times a second.

    Args:
        path: The gateway's request path.

    Attributes:
        durations: Durations of the statements that were served, in seconds.
        refused: Number of refused statements.
    """

    def __init__(self, path: RequestPath) -> None:
        self._path = path
        self.durations: list[float] = []
        self.refused = 0

    async def run(self, database: str, text: bytes, length_s: float) -> None:
        """Send statements for a time."""
        ends_at = anyio.current_time() + length_s
        while anyio.current_time() < ends_at:
            began_at = anyio.current_time()
            session = self._path.open(database)
            reply = await self._path.run_statement(session, text)
            if reply.refusal is None:
                self.durations.append(anyio.current_time() - began_at)
            else:
                self.refused += 1
            await anyio.sleep(_INTERVAL_S)

    async def run_all(self, length_s: float) -> None:
        """Run one caller for each kind of statement."""
        async with anyio.create_task_group() as tasks:
            for database, text in _SCRIPTS:
                tasks.start_soon(self.run, database, text, length_s)


async def _measure(may_prove: bool) -> dict[str, float]:
    async with anyio.create_task_group() as tasks:
        path = RequestPath(tasks)
        for instance in path.group.instances.values():
            instance.work_s = _WORK_S
        path.grant('a', length_s=_GRANT_S)
        path.evidence.proof.is_allowed = may_prove
        before = _Load(path)
        await before.run_all(_GRANT_S - 0.5)
        load = _Load(path)
        await load.run_all(_OUTAGE_S)
        rounds = path.count_proofs()
        tasks.cancel_scope.cancel()
    served = len(load.durations)
    usual_s = statistics.mean(before.durations)
    added_s = statistics.mean(load.durations or [usual_s]) - usual_s
    return {
        'served_share': round(served / (served + load.refused), 3),
        'added_ms': round(added_s * 1000, 1),
        'questions_per_s': round(
            rounds * len(path.group.instances) / _OUTAGE_S, 1
        ),
    }


def main() -> None:
    """Measure with and without proofs."""
    logger.remove()
    figures = {
        name: virtualtime.run(_measure, may_prove)
        for name, may_prove in (('with proofs', True), ('without', False))
    }
    sys.stdout.write('{0}\n'.format(json.dumps(figures, indent=2)))


if __name__ == '__main__':
    main()
