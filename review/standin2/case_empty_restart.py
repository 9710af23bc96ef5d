"""A primary starts again without its log, and readers use a new gateway."""

import os
import sys
import tempfile
import time
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import final

import anyio
from anyio.abc import TaskGroup

from benchmarks.soak.networkfaults import FaultInjector
from catkincrank.gateway.position import Position
from catkincrank.platform.documents import CONFIG_KEY, CONFIG_TABLE
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.platform.trial import ENDPOINTS, SERVICE, make_config
from review.standin2.client import Attempt, Client
from review.standin2.cloud import Cloud
from review.standin2.gateways import GatewayProcess
from review.standin2.group import AsyncGroup
from review.standin2.results import BROKEN, HELD, NOT_RUN, write_record

_GATEWAYS = ('vm-1', 'vm-2', 'vm-3')
_PROMOTE_S = 0.6
_START_LIMIT_S = 40.0
_WRITES_S = 4.0
# The primary's process is down for this long.
_DOWN_S = 0.05
_READERS = 24
_READS_S = 4.0
_WRITE_PAUSE_S = 0.02
_READ_PAUSE_S = 0.01
_MAX_STALENESS_S = 1.5
_MS = 1000
_NO_POSITION = Position(0, 0)


@final
class Trial:
    """The case with its stand-ins, gateways and callers.

    Args:
        folder: Directory of the gateways' settings and logs.
        has_trouble: Whether the primary starts again.
    """

    def __init__(self, folder: Path, *, has_trouble: bool) -> None:
        self._folder = folder
        self._has_trouble = has_trouble
        self.group = AsyncGroup(SERVICE, ENDPOINTS, _PROMOTE_S)
        self.platform = PlatformStandIn({SERVICE: self.group})
        self.cloud = Cloud(self.group, lambda _: 0)
        self.injectors = {
            name: FaultInjector(partial(self.platform.ports.get, name))
            for name in ENDPOINTS
        }
        self.writes: list[Attempt] = []
        self.reads: list[Attempt] = []
        self.events: list[str] = []

    async def run(self) -> None:
        """Play the case."""
        with ExitStack() as stack:
            async with anyio.create_task_group() as tasks:
                gateways = await self._start(tasks, stack)
                writer = Client('w', gateways[0], 'strong', self.writes)
                tasks.start_soon(writer.run, b'WRITE k v', _WRITE_PAUSE_S)
                await anyio.sleep(_WRITES_S)
                if self._has_trouble:
                    await self._restart_primary()
                self._start_readers(tasks, gateways[1:])
                await anyio.sleep(_READS_S)
                tasks.cancel_scope.cancel()

    def list_breaks(self) -> list[str]:
        """Return the reads that missed a commit that was old enough."""
        runs = {run.request_id: run for run in self.platform.runs}
        commits = [
            (one.answered_at, runs[one.request_id].position)
            for one in self.writes
            if one.is_success
        ]
        broken: list[str] = []
        for read in self.reads:
            run = runs.get(read.request_id)
            since = read.sent_at - _MAX_STALENESS_S
            required = max(
                (place for at, place in commits if at < since),
                default=_NO_POSITION,
            )
            if read.is_success and run and run.position < required:
                broken.append(
                    '{0} ran on {1} at {2}, which held nothing beyond {3}; '
                    '{4} was acknowledged before {5:.3f}'.format(
                        read.request_id.decode('ascii'),
                        run.endpoint_id,
                        '{0:.3f}'.format(run.at),
                        run.position,
                        required,
                        since,
                    )
                )
        return broken

    def describe(self) -> list[str]:
        """Return what was sent, answered and run, one line each."""
        return [
            *self.events,
            *(one.describe() for one in (*self.writes, *self.reads)),
            *(
                '{0:.3f} {1} run by {2} at {3}'.format(
                    run.at,
                    run.request_id.decode('ascii'),
                    run.endpoint_id,
                    run.position,
                )
                for run in self.platform.runs
            ),
            *(
                '{0:.3f} {1} leads term {2}'.format(
                    one.at, one.endpoint_id, one.term
                )
                for one in self.group.leads
            ),
        ]

    async def _start(
        self, tasks: TaskGroup, stack: ExitStack
    ) -> list[GatewayProcess]:
        await tasks.start(self.platform.run)
        await tasks.start(self.cloud.run)
        for injector in self.injectors.values():
            await tasks.start(injector.run)  # noqa: WPS476
        self.platform.redirect_endpoints(
            {name: one.port for name, one in self.injectors.items()}
        )
        self.platform.rows.write(CONFIG_TABLE, [], {CONFIG_KEY: make_config()})
        gateways = [
            GatewayProcess(
                name,
                self._folder,
                self.platform.ports['store'],
                self.cloud.port,
            )
            for name in _GATEWAYS
        ]
        for gateway in gateways:
            stack.callback(gateway.kill)
            gateway.start()
        with anyio.fail_after(_START_LIMIT_S):
            for gateway in gateways:
                await gateway.wait_ready()  # noqa: WPS476
        return gateways

    def _start_readers(
        self, tasks: TaskGroup, gateways: list[GatewayProcess]
    ) -> None:
        """Start readers at gateways that no caller has used so far."""
        for number in range(_READERS):
            reader = Client(
                'r{0}'.format(number),
                gateways[number % len(gateways)],
                'bounded',
                self.reads,
            )
            tasks.start_soon(reader.run, b'READ k', _READ_PAUSE_S)

    async def _restart_primary(self) -> None:
        """End the primary's process and start it again under its name."""
        primary = self.group.instances[ENDPOINTS[0]]
        primary.is_up = False
        await self.injectors[ENDPOINTS[0]].reset()
        self._note('{0} ends'.format(ENDPOINTS[0]))
        await anyio.sleep(_DOWN_S)
        self.group.restart(primary, int(time.time() * _MS))
        self.platform.register_all()
        self._note('{0} starts and registers'.format(ENDPOINTS[0]))

    def _note(self, event: str) -> None:
        self.events.append('{0:.3f} {1}'.format(anyio.current_time(), event))


async def _play(record: Path) -> int:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(Path(folder), has_trouble=has_trouble)
        try:
            await trial.run()
        except* TimeoutError:
            sys.stderr.write('the gateways did not start\n')
    if not trial.reads:
        return NOT_RUN
    broken = trial.list_breaks()
    successes = sum(one.is_success for one in trial.reads)
    summary = '{0} reads, {1} answered, {2} of these broke the rule'.format(
        len(trial.reads), successes, len(broken)
    )
    write_record(record, summary, broken, trial.describe())
    return BROKEN if broken else HELD


if __name__ == '__main__':
    sys.exit(anyio.run(_play, Path(sys.argv[1]) / 'record.txt'))
