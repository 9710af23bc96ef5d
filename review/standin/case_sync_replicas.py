# flake8: noqa: WPS
# Test code: exempt from the style guide's rules like ``tests``.
"""Crashes a primary while one replica receives nothing and the other is busy.

The service has ``sync_replicas`` 1, so the busy replica holds every
acknowledged commit. With VARIANT=draining that replica is not busy but about to
leave, and the other one is 150 ms behind.
"""

import asyncio
import os
import time
from pathlib import Path

from review.standin.fleet import Client, Deployment, make_route, run_case

_WRITERS = 3
_READERS = 16
_DEAF_S = 3
_ERRORS = (OSError, asyncio.IncompleteReadError)


async def _play(deployment: Deployment, has_trouble: bool) -> str:
    service = deployment.add_service(
        'ledger', sync_replicas=1, work_s=0.03, lag_s=0.008
    )
    deployment.configure(
        1,
        [
            make_route('loans', 'ledger', 'primary', timeout_ms=2000),
            make_route('views', 'ledger', 'bounded_staleness', timeout_ms=2000),
        ],
    )
    await deployment.start()
    await deployment.wait_served('loans', 'WRITE warm up')
    record = deployment.record
    is_draining = os.environ.get('VARIANT') == 'draining'
    _, leaving, behind = service.instances
    acknowledged: dict[str, float] = {}
    is_over = False

    async def use(number: int, database: str, text: str) -> None:
        """Send one request after another, with a new session after errors."""
        while not is_over:
            gateway = deployment.gateways[number % len(deployment.gateways)]
            client = Client(record, gateway.ports['front'])
            try:
                await client.open(database)
                while not is_over:
                    answer = await client.ask(text.format(number))
                    if answer.is_done and text.startswith('WRITE'):
                        acknowledged[client.last_id] = answer.at
                    if not answer.is_done:
                        await asyncio.sleep(0.05)
            except _ERRORS:
                await asyncio.sleep(0.1)
            client.close()

    tasks = [
        asyncio.create_task(use(one, 'loans', 'WRITE k{0} v'))
        for one in range(_WRITERS)
    ]
    tasks.extend(
        asyncio.create_task(use(one, 'views', 'READ k{0}'))
        for one in range(0 if is_draining else _READERS)
    )
    await asyncio.sleep(5)
    if has_trouble:
        if is_draining:
            service.note('i2 is draining, i3 is 150 ms behind')
            behind.lag_s = 0.15
            leaving.is_draining = True
            leaving.register()
        else:
            service.note('i3 receives nothing')
            behind.is_deaf = True
        await asyncio.sleep(_DEAF_S)
        service.note('i1, the primary, crashes')
        service.instances[0].crash()
    await asyncio.sleep(8)
    is_over = True
    await asyncio.wait(tasks, timeout=4)
    for task in tasks:
        task.cancel()
    for promoted_at, name, term, log in service.promotions:
        held = {commit.request_id for commit in log}
        lost = [
            one
            for one, answered_at in acknowledged.items()
            if answered_at < promoted_at and one not in held
        ]
        record.add(
            '{0} was promoted to term {1} with {2} commits, and lacks {3} '
            'acknowledged ones: {4}'.format(
                name, term, len(log), len(lost), ' '.join(lost)
            ),
            promoted_at,
        )
        if lost:
            return 'LOST: {0} promoted without {1} acknowledged commits'.format(
                name, len(lost)
            )
    if has_trouble and not service.promotions:
        record.add('nobody was promoted', time.monotonic())
    return ''


if __name__ == '__main__':
    run_case(_play, Path(__file__).resolve().parents[1] / '1')
