# flake8: noqa: WPS
# Test code: exempt from the style guide's rules like ``tests``.
"""Sends malformed HTTP requests to the ready addresses of two gateways."""

import asyncio
import time
from pathlib import Path

from review.standin.fleet import Client, Deployment, make_route, run_case
from review.standin.store import HOST

_TURNS = 3
_MACHINES = 2
_BROKEN = b'GET //[ HTTP/1.1\r\nHost: node\r\n\r\n'
_SOUND = b'GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n'
_ERRORS = (OSError, asyncio.IncompleteReadError)


async def _play(deployment: Deployment, has_trouble: bool) -> str:
    deployment.add_service('ledger')
    deployment.configure(1, [make_route('loans', 'ledger', 'primary')])
    await deployment.start()
    await deployment.wait_served('loans', 'WRITE warm up')
    record = deployment.record
    unanswered = 0
    is_over = False

    async def use_sessions(number: int) -> None:
        """Write all the time, in a new session after an error."""
        nonlocal unanswered
        gateway = deployment.gateways[number % len(deployment.gateways)]
        while not is_over:
            client = Client(record, gateway.ports['front'])
            try:
                await client.open('loans')
                while not is_over:
                    await client.ask('WRITE k{0} v'.format(number))
            except _ERRORS:
                if client.outstanding is not None:
                    unanswered += 1
                    record.add(
                        'no answer to {0} {1}'.format(*client.outstanding)
                    )
                await asyncio.sleep(0.1)
            client.close()

    tasks = [asyncio.create_task(use_sessions(one)) for one in range(6)]
    await asyncio.sleep(2)
    ends = [0] * _MACHINES
    for turn in range(_TURNS):
        for number in range(_MACHINES):
            gateway = deployment.gateways[number]
            sent = _BROKEN if has_trouble else _SOUND
            record.add('{0!r} to {1}'.format(sent, gateway.name))
            _, writer = await asyncio.open_connection(
                HOST, gateway.ports['ready']
            )
            writer.write(sent)
            await writer.drain()
            ends_at = time.monotonic() + 2
            while time.monotonic() < ends_at:
                if gateway.process.returncode is not None:
                    break
                await asyncio.sleep(0.02)
            writer.transport.abort()
            status = gateway.process.returncode
            record.add('{0}: exit status {1}'.format(gateway.name, status))
            if status is not None:
                ends[number] += 1
                # The platform restarts it after a short delay.
                await asyncio.sleep(0.5)
                await gateway.start()
        await deployment.wait_ready()
    is_over = True
    await asyncio.wait(tasks, timeout=3)
    for task in tasks:
        task.cancel()
    if min(ends) >= _TURNS:
        text = 'FAULT: two gateways ended {0} times each, {1} without answer'
        return text.format(_TURNS, unanswered)
    return ''


if __name__ == '__main__':
    run_case(_play, Path(__file__).resolve().parents[1] / '3')
