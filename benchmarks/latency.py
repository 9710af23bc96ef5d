"""Latency and cost of statements, compared with a direct connection."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import final

import anyio
import msgspec

from benchmarks.result import Figures
from catkincrank.load import workload
from catkincrank.load.connection import CallerConnection, Target
from catkincrank.load.profile import Profile, load_profile
from catkincrank.load.summary import measure_latency
from catkincrank.load.trial import create_tables
from catkincrank.standins.deployment import Deployment

__all__ = ('measure_acknowledgements', 'measure_overhead')

_POLICIES = ('replica', 'bounded')
_CALLERS = 4
_WARM_UP_STATEMENTS = 30


@final
@dataclass(frozen=True, slots=True)
class _Timing:
    p50_s: float
    p99_s: float
    cpu_s: float
    per_s: float


async def measure_overhead(figures: Figures, *, is_quick: bool) -> None:
    """Measure reads and transactions with and without a proxy."""
    count = 224 if is_quick else 2000
    async with Deployment(_make_small_profile('replica')) as deployment:
        await create_tables(deployment)
        group = next(iter(deployment.groups))
        address = deployment.groups[group].addresses()['a']
        direct = Target('direct', address.host, address.port, 'catkincrank')
        proxied = deployment.targets()[0]
        for name, work in (('read', _read), ('transaction', _run_transaction)):
            timings = {}
            for path, target in (('direct', direct), ('proxied', proxied)):
                timing = await _measure(  # noqa: WPS476
                    target,
                    group,
                    work,
                    count,
                )
                timings[path] = timing
                _record_timing(figures, '{0}_{1}'.format(name, path), timing)
            added = timings['proxied'].cpu_s - timings['direct'].cpu_s
            figures.put('{0}_proxy_cpu_us'.format(name), added * 1e6)
            figures.put(
                '{0}_added_p50_ms'.format(name),
                (timings['proxied'].p50_s - timings['direct'].p50_s) * 1000,
            )


async def measure_acknowledgements(
    figures: Figures,
    *,
    is_quick: bool,
) -> None:
    """Measure the latency of writes by acknowledgement policy."""
    count = 24 if is_quick else 200
    for policy in _POLICIES:
        timing = await _measure_writes(policy, count)  # noqa: WPS476
        _record_timing(figures, 'write_{0}'.format(policy), timing)


async def _measure_writes(policy: str, count: int) -> _Timing:
    async with Deployment(_make_small_profile(policy)) as deployment:
        await create_tables(deployment)
        group = next(iter(deployment.groups))
        target = deployment.targets()[0]
        return await _measure(target, group, _write, count, callers=1)


def _record_timing(figures: Figures, name: str, timing: _Timing) -> None:
    figures.put('{0}_p50_ms'.format(name), timing.p50_s * 1000)
    figures.put('{0}_p99_ms'.format(name), timing.p99_s * 1000)
    figures.put('{0}_per_s'.format(name), timing.per_s)


def _make_small_profile(policy: str) -> Profile:
    profile = load_profile('sawari')
    return msgspec.structs.replace(
        profile,
        services=profile.services[:1],
        proxies=1,
        keepers=3,
        zone_delay_s=0,
        client_delay_s=0,
        acknowledgement=policy,
    )


async def _measure(
    target: Target,
    group: str,
    work: Callable[[CallerConnection], Awaitable[None]],
    count: int,
    callers: int = _CALLERS,
) -> _Timing:
    latencies: list[float] = []
    connections = []
    for _ in range(callers):
        one = await CallerConnection.open(target, group)  # noqa: WPS476
        connections.append(one)
    warm_up = _WARM_UP_STATEMENTS // callers
    for opened in connections:
        await _repeat(opened, work, warm_up, [])  # noqa: WPS476
    cpu_s = time.process_time()
    began = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for connection in connections:
            tasks.start_soon(
                _repeat,
                connection,
                work,
                count // callers,
                latencies,
            )
    seconds = anyio.current_time() - began
    cpu_s = time.process_time() - cpu_s
    for connection in connections:
        connection.close()
    measured = measure_latency(latencies)
    return _Timing(
        measured.p50,
        measured.p99,
        cpu_s / len(latencies),
        len(latencies) / seconds,
    )


async def _repeat(
    connection: CallerConnection,
    work: Callable[[CallerConnection], Awaitable[None]],
    count: int,
    latencies: list[float],
) -> None:
    for _ in range(count):
        began = anyio.current_time()
        await work(connection)  # noqa: WPS476
        latencies.append(anyio.current_time() - began)


async def _read(connection: CallerConnection) -> None:
    await connection.execute(workload.SELECT_VERSION, 'bench', 'item-1')


async def _write(connection: CallerConnection) -> None:
    await connection.execute(
        workload.INSERT_PAYMENT,
        'bench',
        'item-bench',
        '1',
        '1',
    )


async def _run_transaction(connection: CallerConnection) -> None:
    await connection.execute('BEGIN')
    await _read(connection)
    await _read(connection)
    await connection.execute('COMMIT')
