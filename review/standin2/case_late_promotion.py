"""A primary is lost while the platform performs one promotion late."""

from pathlib import Path
from typing import final

import anyio
from anyio.abc import TaskGroup

from review.standin2.client import Attempt, Client
from review.standin2.results import main
from review.standin2.stage import PRIMARY, Stage

_PROMOTE_S = 0.3
# The first call for a promotion is performed this late; all others at once.
_LATE_S = 7.0
_CALM_S = 3.0
_RUN_S = 12.0
_WRITE_PAUSE_S = 0.02


@final
class _LatePromotion:
    def __init__(self, folder: Path, has_trouble: bool) -> None:  # noqa: FBT001
        late_s = _LATE_S if has_trouble else 0
        self.attempts: list[Attempt] = []
        self.stage = Stage(
            folder,
            _PROMOTE_S,
            choose_delay=lambda call: 0 if call else late_s,
        )

    async def play(self, tasks: TaskGroup) -> None:
        """Lose the primary for good while callers write."""
        for number, gateway in enumerate(self.stage.gateways):
            client = Client(
                'c{0}'.format(number), gateway, 'strong', self.attempts
            )
            tasks.start_soon(client.run, b'WRITE k v', _WRITE_PAUSE_S)
        await anyio.sleep(_CALM_S)
        await self.stage.end_process(PRIMARY)
        await self.stage.let_lapse(PRIMARY)
        await anyio.sleep(_RUN_S)

    def list_breaks(self) -> list[str]:
        """Return the acknowledged writes that a replaced primary committed."""
        runs = {run.request_id: run for run in self.stage.platform.runs}
        broken: list[str] = []
        for attempt in self.attempts:
            run = runs.get(attempt.request_id)
            if not (attempt.is_success and run):
                continue
            leads = self.stage.group.leads
            newest = [one for one in leads if one.at < run.at][-1]
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


if __name__ == '__main__':
    main(_LatePromotion)
