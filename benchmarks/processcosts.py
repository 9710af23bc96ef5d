"""Costs of keeper and proxy processes against small stand-ins."""

import contextlib
import os
import socket
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, final

import anyio
import psutil

from benchmarks.meter import Meter
from catkincrank.adminclient import AdminAddress, AdminError, call
from catkincrank.load.connection import CallerConnection, Target
from catkincrank.settings import Endpoint, Limits, Service, Team, encode_team
from catkincrank.settingschanges import Change, change_team
from catkincrank.standins.group import StandinGroup
from catkincrank.standins.instance import InstanceOptions
from catkincrank.standins.storeserver import StandinStoreServer
from catkincrank.stores.http import HttpStore

__all__ = (
    'BusyKeeperCost',
    'KeeperCost',
    'ProxyCost',
    'measure_busy_keeper',
    'measure_keeper',
    'measure_proxy',
)

_HOST = '127.0.0.1'
_ZONE = 'zone-0'
_TEAM = 'team'
_SETTLING_S = 4
_SAMPLE_S = 6
_READY_LIMIT_S = 30
_POLL_S = 0.2
_MEGABYTE = 1048576
_PASSWORD = 'benchmark'
_CREATE = 'CREATE TABLE IF NOT EXISTS writes (id int8 PRIMARY KEY)'
_WRITE = 'INSERT INTO writes VALUES ({0})'


@final
@dataclass(frozen=True, slots=True)
class KeeperCost:
    """Costs of a keeper that watches a number of idle groups.

    Attributes:
        groups: Number of watched groups, of three instances each.
        resident_mb: Resident memory, in MB.
        private_mb: Resident memory not shared with other processes, in MB.
        cpu_share: Share of one core.
        endpoint_bytes_per_s: Payload to and from the instances.
        store_reads_per_s: Reads from the store.
    """

    groups: int
    resident_mb: float
    private_mb: float
    cpu_share: float
    endpoint_bytes_per_s: float
    store_reads_per_s: float


@final
@dataclass(frozen=True, slots=True)
class ProxyCost:
    """Costs of a proxy for the reads of one caller and for idle callers.

    Attributes:
        resident_mb: Resident memory before the idle callers connect, in MB.
        bytes_per_caller: Memory of one idle caller.
        cpu_us_per_read: Processor time to read one row, in microseconds.
        cpu_share_at_rest: Share of one core without statements.
        reads: Number of reads.
    """

    resident_mb: float
    bytes_per_caller: float
    cpu_us_per_read: float
    cpu_share_at_rest: float
    reads: int


@final
@dataclass(frozen=True, slots=True)
class BusyKeeperCost:
    """Costs of a keeper of one group while one caller writes continuously.

    Attributes:
        writes_per_s: Acknowledged writes per second.
        keeper_cpu_share: Share of one core that the keeper uses.
        proxy_cpu_share: Share of one core that the proxy uses.
    """

    writes_per_s: float
    keeper_cpu_share: float
    proxy_cpu_share: float


@final
class _Bench:
    """Stand-ins, and ports for the processes under test."""

    def __init__(
        self, platform: StandinStoreServer, meters: list[Meter]
    ) -> None:
        self.platform = platform
        self.meters = meters
        self.store = HttpStore(platform.address)
        self.keeper_port = _pick_port()
        self.keeper_admin = _pick_port()
        self.proxy_port = _pick_port()
        self.proxy_admin = _pick_port()

    async def write_team(self, groups: int) -> None:
        """Write settings with a number of groups on the same instances."""
        endpoints = tuple(
            Endpoint(name, _ZONE, _HOST, meter.port)
            for name, meter in zip('abc', self.meters, strict=True)
        )
        limits = Limits(connections=100)
        services = {
            'service-{0}'.format(number): Service(endpoints, limits=limits)
            for number in range(groups)
        }
        body = encode_team(Team(services))
        await change_team(self.store, Change(_TEAM, body, 0, 'bench', 0))

    def target(self) -> Target:
        """Return the address of the proxy."""
        return Target('proxy', _HOST, self.proxy_port, 'bench', _PASSWORD)

    def count_bytes(self) -> int:
        """Return the payload bytes to and from the instances so far."""
        return sum(meter.count for meter in self.meters)


async def measure_keeper(groups: int) -> KeeperCost:
    """Measure a keeper of ``groups`` idle groups."""
    async with _open_bench() as bench:
        await bench.write_team(groups)
        async with _run_keeper(bench) as keeper:
            await anyio.sleep(_SETTLING_S)
            before, cpu = bench.count_bytes(), _cpu_s(keeper)
            reads = bench.platform.reads
            await anyio.sleep(_SAMPLE_S)
            memory = keeper.memory_full_info()
            return KeeperCost(
                groups,
                memory.rss / _MEGABYTE,
                memory.uss / _MEGABYTE,
                (_cpu_s(keeper) - cpu) / _SAMPLE_S,
                (bench.count_bytes() - before) / _SAMPLE_S,
                (bench.platform.reads - reads) / _SAMPLE_S,
            )


async def measure_proxy(reads: int, callers: int) -> ProxyCost:
    """Measure a proxy with reads and with idle callers."""
    async with _open_bench() as bench:
        await bench.write_team(1)
        async with _run_keeper(bench), _run_proxy(bench) as proxy:
            target = bench.target()
            first = await _open_caller(target)
            await first.execute('SELECT 1')
            await anyio.sleep(_SETTLING_S)
            cpu = _cpu_s(proxy)
            await anyio.sleep(_SAMPLE_S)
            at_rest = (_cpu_s(proxy) - cpu) / _SAMPLE_S
            cpu = _cpu_s(proxy)
            for _ in range(reads):
                await first.execute('SELECT 1')  # noqa: WPS476
            used = _cpu_s(proxy) - cpu
            resident = proxy.memory_info().rss
            idle = [
                await _open_caller(target)  # noqa: WPS476
                for _ in range(callers)
            ]
            grown = proxy.memory_info().rss - resident
            for caller in (first, *idle):
                caller.close()
            return ProxyCost(
                resident / _MEGABYTE,
                grown / callers,
                used / reads * 1e6,
                at_rest,
                reads,
            )


async def measure_busy_keeper() -> BusyKeeperCost:
    """Measure a keeper while writes wait for a replica."""
    async with _open_bench() as bench:
        await bench.write_team(1)
        async with _run_keeper(bench) as keeper, _run_proxy(bench) as proxy:
            caller = await _open_caller(bench.target())
            await caller.execute(_CREATE)
            await anyio.sleep(_SETTLING_S)
            began_at = anyio.current_time()
            used = _cpu_s(keeper), _cpu_s(proxy)
            writes = 0
            while anyio.current_time() < began_at + _SAMPLE_S:
                await caller.execute(_WRITE.format(writes))  # noqa: WPS476
                writes += 1
            elapsed_s = anyio.current_time() - began_at
            caller.close()
            return BusyKeeperCost(
                writes / elapsed_s,
                (_cpu_s(keeper) - used[0]) / elapsed_s,
                (_cpu_s(proxy) - used[1]) / elapsed_s,
            )


async def _open_caller(target: Target) -> Any:
    return await CallerConnection.open(target, '{0}/service-0'.format(_TEAM))


@contextlib.asynccontextmanager
async def _open_bench() -> AsyncIterator[_Bench]:
    options = InstanceOptions(connections=1000)
    platform = StandinStoreServer()
    async with StandinGroup(options=options) as group:
        async with anyio.create_task_group() as tasks:
            await tasks.start(platform.serve)
            meters = [
                Meter(address.port) for address in group.addresses().values()
            ]
            for meter in meters:
                await meter.start()  # noqa: WPS476
            yield _Bench(platform, meters)
            tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _run_keeper(bench: _Bench) -> AsyncIterator[psutil.Process]:
    flags = {
        'name': 'keeper',
        'zone': _ZONE,
        'port': bench.keeper_port,
        'admin-port': bench.keeper_admin,
        'store': bench.platform.address,
        'teams': _TEAM,
    }
    async with _run('keeper', flags, bench.keeper_admin) as process:
        yield process


@contextlib.asynccontextmanager
async def _run_proxy(bench: _Bench) -> AsyncIterator[psutil.Process]:
    flags = {
        'name': 'proxy',
        'zone': _ZONE,
        'port': bench.proxy_port,
        'admin-port': bench.proxy_admin,
        'keepers': 'keeper/{0}:{1}'.format(_HOST, bench.keeper_port),
    }
    async with _run('proxy', flags, bench.proxy_admin) as process:
        yield process


@contextlib.asynccontextmanager
async def _run(
    program: str,
    flags: dict[str, object],
    admin_port: int,
) -> AsyncIterator[psutil.Process]:
    arguments = ['--{0}={1}'.format(*flag) for flag in flags.items()]
    command = [sys.executable, '-m', 'catkincrank', program, *arguments]
    password = 'CATKINCRANK_PASSWORD_{0}'.format(_TEAM.upper())
    environment = {**os.environ, password: _PASSWORD}
    with open(os.devnull, 'wb') as sink:
        process = await anyio.open_process(
            command,
            stdout=sink,
            stderr=sink,
            env=environment,
        )
    try:
        await _wait_until_ready(AdminAddress(_HOST, admin_port))
        yield psutil.Process(process.pid)
    finally:
        process.kill()
        with anyio.CancelScope(shield=True):
            await process.wait()


async def _wait_until_ready(address: AdminAddress) -> None:
    with anyio.fail_after(_READY_LIMIT_S):
        while not await _is_ready(address):
            await anyio.sleep(_POLL_S)


async def _is_ready(address: AdminAddress) -> bool:
    try:
        await call(address, 'GET', '/ready')
    except AdminError:
        return False
    return True


def _cpu_s(process: psutil.Process) -> float:
    return sum(process.cpu_times()[:2])


def _pick_port() -> int:
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return probe.getsockname()[1]
