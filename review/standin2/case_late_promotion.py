"""A primary is lost while the platform performs one promotion late."""

import os
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.platform.documents import CONFIG_KEY, CONFIG_TABLE
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.platform.trial import ENDPOINTS, SERVICE, make_config
from review.standin2.client import Attempt, Client
from review.standin2.cloud import Cloud
from review.standin2.gateways import GatewayProcess
from review.standin2.group import AsyncGroup
from review.standin2.results import BROKEN, HELD, NOT_RUN, write_record

_GATEWAYS = ('vm-1', 'vm-2', 'vm-3')
_PROMOTE_S = 0.3
# The first call for a promotion is performed this late; all others at once.
_LATE_S = 7.0
_START_LIMIT_S = 40.0
_CALM_S = 3.0
# Registrations lapse after three heartbeat intervals.
_LAPSE_S = 3.6
_RUN_S = 16.0
_WRITE_PAUSE_S = 0.02


@final
class Trial:
    """The case with its stand-ins, gateways and callers.

    Args:
        folder: Directory of the gateways' settings and logs.
        has_trouble: Whether the platform performs a promotion late.
    """

    def __init__(self, folder: Path, *, has_trouble: bool) -> None:
        late_s = _LATE_S if has_trouble else 0
        self._folder = folder
        self.group = AsyncGroup(SERVICE, ENDPOINTS, _PROMOTE_S)
        self.platform = PlatformStandIn({SERVICE: self.group})
        self.cloud = Cloud(self.group, lambda call: 0 if call else late_s)
        self.attempts: list[Attempt] = []
        self.lost_at: float = 0

    async def run(self) -> None:
        """Play the case."""
        with ExitStack() as stack:
            async with anyio.create_task_group() as tasks:
                gateways = await self._start(tasks, stack)
                self._start_writers(tasks, gateways)
                await anyio.sleep(_CALM_S)
                await self._lose_primary()
                await anyio.sleep(_RUN_S - _LAPSE_S)
                tasks.cancel_scope.cancel()

    def list_breaks(self) -> list[str]:
        """Return the acknowledged writes that a replaced primary committed."""
        runs = {run.request_id: run for run in self.platform.runs}
        broken: list[str] = []
        for attempt in self.attempts:
            run = runs.get(attempt.request_id)
            if not (attempt.is_success and run):
                continue
            newest = [one for one in self.group.leads if one.at < run.at][-1]
            if newest.endpoint_id != run.endpoint_id:
                broken.append(
                    '{0} committed at {1} at {2:.3f}, acknowledged at {3:.3f}; '
                    '{4} was the primary since {5:.3f}'.format(
                        attempt.request_id.decode('ascii'),
                        run.endpoint_id,
                        run.at,
                        attempt.answered_at,
                        newest.endpoint_id,
                        newest.at,
                    )
                )
        return broken

    def describe(self) -> list[str]:
        """Return what was sent, answered and run, one line each."""
        return [
            '{0:.3f} {1} is lost'.format(self.lost_at, ENDPOINTS[0]),
            *(
                '{0:.3f} call of {1} to promote {2}, token {3}, performed '
                'after {4:.1f} s'.format(
                    call.at,
                    call.holder,
                    call.endpoint_id,
                    call.token,
                    call.delay_s,
                )
                for call in self.cloud.calls
            ),
            *(
                '{0:.3f} {1} leads term {2}'.format(
                    one.at, one.endpoint_id, one.term
                )
                for one in self.group.leads
            ),
            *(one.describe() for one in self.attempts),
            *(
                '{0:.3f} {1} run by {2} in term {3} at {4}'.format(
                    run.at,
                    run.request_id.decode('ascii'),
                    run.endpoint_id,
                    run.term,
                    run.position,
                )
                for run in self.platform.runs
            ),
        ]

    async def _start(
        self, tasks: TaskGroup, stack: ExitStack
    ) -> list[GatewayProcess]:
        await tasks.start(self.platform.run)
        await tasks.start(self.cloud.run)
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

    def _start_writers(
        self, tasks: TaskGroup, gateways: list[GatewayProcess]
    ) -> None:
        for number, gateway in enumerate(gateways):
            client = Client(
                'c{0}'.format(number), gateway, 'strong', self.attempts
            )
            tasks.start_soon(client.run, b'WRITE k v', _WRITE_PAUSE_S)

    async def _lose_primary(self) -> None:
        """Lose the primary for good; its registration lapses later."""
        self.lost_at = anyio.current_time()
        self.group.instances[ENDPOINTS[0]].is_up = False
        await anyio.sleep(_LAPSE_S)
        self.platform.register_all()


async def _play(record: Path) -> int:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(Path(folder), has_trouble=has_trouble)
        try:
            await trial.run()
        except* TimeoutError:
            sys.stderr.write('the gateways did not start\n')
    if not trial.attempts:
        return NOT_RUN
    broken = trial.list_breaks()
    successes = sum(one.is_success for one in trial.attempts)
    summary = (
        '{0} writes, {1} acknowledged, {2} of these broke the rule'.format(
            len(trial.attempts), successes, len(broken)
        )
    )
    write_record(record, summary, broken, trial.describe())
    return BROKEN if broken else HELD


if __name__ == '__main__':
    sys.exit(anyio.run(_play, Path(sys.argv[1]) / 'record.txt'))
