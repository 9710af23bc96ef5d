# flake8: noqa: WPS
# Test code: exempt from the style guide's rules like ``tests``.
"""Starts a primary again without its log while the store is away.

Callers then read through a gateway that has served nobody before.
"""

import asyncio
import time
from pathlib import Path

from review.standin.fleet import Client, Deployment, make_route, run_case

# The store is away from this long before the crash until the reads have ended.
_AWAY_S = 0.5
_RESTART_S = 0.5
_READ_S = 2.0
_READERS = 4
_ERRORS = (OSError, asyncio.IncompleteReadError, TimeoutError)


async def _play(deployment: Deployment, has_trouble: bool) -> str:
    service = deployment.add_service('ledger', work_s=0.006)
    deployment.configure(1, [make_route('loans', 'ledger', 'primary')])
    await deployment.start()
    record = deployment.record
    busy = deployment.gateways[:2]
    idle = deployment.gateways[2]
    primary = service.instances[0]
    acknowledged: dict[str, float] = {}
    lacking: dict[str, list[str]] = {}
    sent: dict[str, float] = {}
    is_over = False

    def observe(instance: object, _session: object, request_id: str) -> None:
        """Note which acknowledged commits the log of a read lacks."""
        if request_id not in sent:
            return
        held = {commit.request_id for commit in instance.log}
        missing = [
            one
            for one, at in acknowledged.items()
            if at < sent[request_id] and one not in held
        ]
        # What a promotion rolled back may be missing.
        if missing and not service.promotions:
            lacking[request_id] = missing

    service.observe = observe

    async def write(number: int) -> None:
        gateway = busy[number % len(busy)]
        while not is_over:
            client = Client(record, gateway.ports['front'])
            try:
                await client.open('loans')
                while not is_over:
                    answer = await client.ask('WRITE k{0} v'.format(number))
                    if answer.is_done:
                        acknowledged[client.last_id] = answer.at
                    await asyncio.sleep(0.05)
            except _ERRORS:
                await asyncio.sleep(0.1)
            client.close()

    stale: list[str] = []

    async def read(ends_at: float) -> None:
        """Read in new sessions at the gateway that had none before."""
        while time.monotonic() < ends_at:
            client = Client(record, idle.ports['front'])
            try:
                await client.open('loans')
                sent_at = time.monotonic()
                client.on_send = lambda one: sent.__setitem__(one, sent_at)
                answer = await client.ask('READ k0')
                if answer.is_done and client.last_id in lacking:
                    stale.append(client.last_id)
            except _ERRORS:
                await asyncio.sleep(0.05)
            client.close()
            await asyncio.sleep(0.02)

    tasks = [asyncio.create_task(write(one)) for one in range(4)]
    await asyncio.sleep(5)
    if has_trouble:
        service.note('the store answers 503')
        deployment.store.is_down = True
        await asyncio.sleep(_AWAY_S)
        service.note('{0}, the primary, crashes'.format(primary.name))
        primary.crash()
        await asyncio.sleep(_RESTART_S)
        service.note('{0} starts again, empty'.format(primary.name))
        await primary.restart_empty()
    ends_at = time.monotonic() + _READ_S
    readers = [asyncio.create_task(read(ends_at)) for _ in range(_READERS)]
    await asyncio.wait(readers, timeout=_READ_S + 3)
    deployment.store.is_down = False
    service.note('the store is back')
    await asyncio.sleep(1)
    is_over = True
    await asyncio.wait(tasks, timeout=3)
    for task in tasks:
        task.cancel()
    # What a later promotion rolled back is not counted.
    kept = set(acknowledged)
    for _, _, _, log in service.promotions:
        kept &= {commit.request_id for commit in log}
    broken = []
    for request_id in stale:
        missing = kept.intersection(lacking[request_id])
        record.add(
            'stale read {0}: the log lacked {1} acknowledged commits that were '
            'never rolled back'.format(request_id, len(missing)),
            sent[request_id],
        )
        if missing:
            broken.append(request_id)
    if broken:
        text = 'STALE: {0} reads without acknowledged commits'
        return text.format(len(broken))
    return ''


if __name__ == '__main__':
    run_case(_play, Path(__file__).resolve().parents[1] / '5')
