# flake8: noqa: WPS
# Test code: exempt from the style guide's rules like ``tests``.
"""Sends operations in busy sessions while their gateway gets SIGTERM."""

import asyncio
import signal
import time
from pathlib import Path

from review.standin.fleet import Client, Deployment, make_route, run_case

_SESSIONS = 12
_GRACE_S = 6
_SLACK_S = 0.2
_ERRORS = (OSError, asyncio.IncompleteReadError)


async def _play(deployment: Deployment, has_trouble: bool) -> str:
    service = deployment.add_service('ledger')
    deployment.configure(1, [make_route('loans', 'ledger', 'primary')])
    await deployment.start()
    await deployment.wait_served('loans', 'WRITE warm up')
    record = deployment.record
    stopped = deployment.gateways[0]
    others = deployment.gateways[1:]
    cuts: list[tuple[str, str, float, float]] = []
    is_over = False

    async def use_sessions(number: int) -> None:
        """Run one operation after the other, in one session if it lasts."""
        gateway = stopped
        while not is_over:
            client = Client(record, gateway.ports['front'])
            try:
                await client.open('loans')
                while not is_over:
                    await _operate(client, number)
            except _ERRORS:
                if client.outstanding is not None and gateway is stopped:
                    cuts.append((*client.outstanding, time.monotonic()))
            client.close()
            # The balancer sends a new connection to another node.
            gateway = others[number % len(others)]

    tasks = [asyncio.create_task(use_sessions(one)) for one in range(_SESSIONS)]
    await asyncio.sleep(5)
    term_at = time.monotonic()
    if has_trouble:
        record.add('SIGTERM to {0}'.format(stopped.name))
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(_GRACE_S)
    if has_trouble and stopped.process.returncode is None:
        record.add('SIGKILL after grace_s')
        stopped.signal(signal.SIGKILL)
    await asyncio.sleep(1.5)
    is_over = True
    await asyncio.wait(tasks, timeout=3)
    for task in tasks:
        task.cancel()
    broken = []
    for request_id, text, sent_at, cut_at in cuts:
        _, arrived_at = service.arrivals.get(request_id, ('', cut_at))
        was_passed_on = arrived_at < cut_at
        is_late = cut_at > sent_at + _SLACK_S
        is_excused = sent_at <= term_at + 3 or cut_at > term_at + _GRACE_S + 1
        record.add(
            'cut {0} {1}: sent {2:.3f} s and cut {3:.3f} s after SIGTERM, '
            'passed on: {4}, excused: {5}'.format(
                request_id,
                text,
                sent_at - term_at,
                cut_at - term_at,
                was_passed_on,
                is_excused,
            ),
            cut_at,
        )
        if (was_passed_on or is_late) and not is_excused:
            broken.append(request_id)
    if broken:
        return 'LOST: {0} of {1} sessions, {2}'.format(
            len(broken), _SESSIONS, ' '.join(broken)
        )
    return ''


async def _operate(client: Client, number: int) -> None:
    """Run one transaction of 12 statements, or a single write."""
    if not number % 4:
        await client.ask('WRITE k{0} v'.format(number))
        return
    await client.ask('BEGIN')
    for step in range(10):
        verb = 'WRITE k{0} v' if step == 5 else 'READ k{0}'
        answer = await client.ask(verb.format(number))
        if not answer.is_done:
            await client.ask('ROLLBACK')
            return
    await client.ask('COMMIT')


if __name__ == '__main__':
    run_case(_play, Path(__file__).resolve().parents[1] / '2')
