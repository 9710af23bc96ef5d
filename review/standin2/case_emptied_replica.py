"""The replica that alone has all commits starts again without its log."""

import time
from pathlib import Path
from typing import final

import anyio
from anyio.abc import TaskGroup

from review.standin2.client import Attempt, Client
from review.standin2.results import main
from review.standin2.stage import LAPSE_S, PRIMARY, REPLICAS, Stage

_PROMOTE_S = 0.6
_CALM_S = 2.0
# One replica receives nothing for this long before the primary crashes.
_DEAF_S = 3.0
# The replica's process is down for this long.
_DOWN_S = 1.0
# The primary is back, with its log, after this time.
_CRASH_S = 7.0
_END_S = 4.0
_WRITE_PAUSE_S = 0.02
_MS = 1000


@final
class _EmptiedReplica:
    def __init__(self, folder: Path, has_trouble: bool) -> None:  # noqa: FBT001
        self._has_trouble = has_trouble
        self.attempts: list[Attempt] = []
        self.stage = Stage(folder, _PROMOTE_S, sync_replicas=1)

    async def play(self, tasks: TaskGroup) -> None:
        """Write, and crash the primary while one replica is behind."""
        self._start_writers(tasks)
        await anyio.sleep(_CALM_S)
        await self._crash_primary()
        if self._has_trouble:
            tasks.start_soon(self._restart, REPLICAS[0])
        await self.stage.let_lapse(PRIMARY)
        await self._recover()

    def list_breaks(self) -> list[str]:
        """Return the acknowledged commits that a promoted log lacked."""
        runs = {run.request_id: run for run in self.stage.platform.runs}
        commits = [
            (one, runs[one.request_id].position)
            for one in self.attempts
            if one.is_success and one.request_id in runs
        ]
        return [
            '{0} at {1} was acknowledged at {2:.3f}; {3} was promoted with '
            'its log at {4}'.format(
                attempt.request_id.decode('ascii'),
                position,
                attempt.answered_at,
                lead.endpoint_id,
                lead.held,
            )
            for lead in self.stage.group.leads[1:]
            for attempt, position in commits
            if attempt.answered_at < lead.at and position > lead.held
        ]

    def _start_writers(self, tasks: TaskGroup) -> None:
        for number, gateway in enumerate(self.stage.gateways):
            client = Client(
                'c{0}'.format(number), gateway, 'strong', self.attempts
            )
            tasks.start_soon(client.run, b'WRITE k v', _WRITE_PAUSE_S)

    async def _crash_primary(self) -> None:
        """Crash the primary after one replica has received nothing."""
        behind = REPLICAS[1]
        self.stage.group.deaf.add(behind)
        self.stage.note('{0} receives nothing from now on'.format(behind))
        await anyio.sleep(_DEAF_S)
        await self.stage.end_process(PRIMARY)

    async def _restart(self, endpoint_id: str) -> None:
        """Start an endpoint again under its name."""
        await self.stage.end_process(endpoint_id)
        await anyio.sleep(_DOWN_S)
        endpoint = self.stage.group.instances[endpoint_id]
        self.stage.group.restart(endpoint, int(time.time() * _MS))
        self.stage.register(endpoint_id)

    async def _recover(self) -> None:
        """Bring the primary back with its log, and watch what follows."""
        await anyio.sleep(_CRASH_S - LAPSE_S)
        self.stage.group.deaf.clear()
        primary = self.stage.group.instances[PRIMARY]
        primary.is_up = True
        primary.is_primary = primary is self.stage.group.newest_primary
        self.stage.register(PRIMARY)
        await anyio.sleep(_END_S)


if __name__ == '__main__':
    main(_EmptiedReplica)
