# flake8: noqa: WPS
# Test code: exempt from the style guide's rules like ``tests``.
"""Opens one session for a database with a long name that does not exist."""

import asyncio
import time
from pathlib import Path

from review.standin.fleet import Client, Deployment, make_route, run_case
from review.standin.store import HOST

_NAME_BYTES = 1_000_000
_PART = '://a:'
_WATCH_S = 25
# Far beyond the time limit of a statement (0.8 s) and two readiness checks.
_SILENCE_LIMIT_S = 15
_ERRORS = (OSError, asyncio.IncompleteReadError, TimeoutError)


async def _play(deployment: Deployment, has_trouble: bool) -> str:
    deployment.add_service('ledger')
    deployment.configure(1, [make_route('loans', 'ledger', 'primary')])
    await deployment.start()
    await deployment.wait_served('loans', 'WRITE warm up')
    record = deployment.record
    gateway = deployment.gateways[0]
    answered_at = {'session': time.monotonic(), 'ready': time.monotonic()}
    is_over = False

    async def use_session() -> None:
        """Write ten times a second in one open session."""
        client = Client(record, gateway.ports['front'])
        await client.open('loans')
        while not is_over:
            await client.ask('WRITE k v')
            answered_at['session'] = time.monotonic()
            await asyncio.sleep(0.1)

    async def check_readiness() -> None:
        """Ask once per second, as the platform does."""
        while not is_over:
            if await gateway.is_ready():
                answered_at['ready'] = time.monotonic()
            else:
                record.add('{0} is not ready'.format(gateway.name))
            await asyncio.sleep(1)

    tasks = [
        asyncio.create_task(use_session()),
        asyncio.create_task(check_readiness()),
    ]
    await asyncio.sleep(3)
    name = 'nowhere'
    if has_trouble:
        name = _PART * (_NAME_BYTES // len(_PART))
    record.add('STARTUP with a name of {0} bytes'.format(len(name)))
    _, writer = await asyncio.open_connection(HOST, gateway.ports['front'])
    writer.write('STARTUP {0} user\r\n'.format(name).encode())
    longest = {'session': 0.0, 'ready': 0.0}
    ends_at = time.monotonic() + _WATCH_S
    while time.monotonic() < ends_at:
        await asyncio.sleep(0.1)
        for what, at in answered_at.items():
            longest[what] = max(longest[what], time.monotonic() - at)
    is_over = True
    status = gateway.process.returncode
    writer.transport.abort()
    for task in tasks:
        task.cancel()
    record.add(
        'longest silence in {0} s: session {1:.1f} s, ready {2:.1f} s; exit '
        'status {3}'.format(
            _WATCH_S, longest['session'], longest['ready'], status
        )
    )
    if status is None and min(longest.values()) > _SILENCE_LIMIT_S:
        text = 'FAULT: {0} answers nothing and nobody for {1:.0f} s or more'
        return text.format(gateway.name, min(longest.values()))
    return ''


if __name__ == '__main__':
    run_case(_play, Path(__file__).resolve().parents[1] / '4')
