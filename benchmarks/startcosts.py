"""Processor time of a gateway's start, until it is bound and until it serves.

The gateway joins a fleet whose lease holder serves already. Its stand-ins and
the caller run in this process and are not counted.
"""

import argparse
import contextlib
import json
import os
import re
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

import anyio
from anyio.abc import Process

from benchmarks.result import Figures
from benchmarks.soak.program import find_ports
from catkincrank.platform.documents import CONFIG_KEY, CONFIG_TABLE
from catkincrank.platform.lines import LineReader
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.platform.trial import ENDPOINTS, SERVICE, make_config
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup

__all__ = ('StartCost', 'measure_start', 'measure_starts')

_HOST = '127.0.0.1'
_ROOT = Path(__file__).parent.parent
_RUNS = 7
_QUICK_RUNS = 3
_LIMIT_S = 60
_RETRY_S = 0.005
_STARTUP = b'STARTUP strong key\r\n'
_QUERY = b'QUERY 1 READ k\r\n'
_SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "zone-a"
region = "region"
internal_ports = [{peers}, {status}]
[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
[platform]
address = "127.0.0.1:{store}"
[cloud]
address = "127.0.0.1:{promote}"
"""
# Reports the processor time at each binding of a socket.
_PROGRAM = """
import socket, sys, time
_bind = socket.socket.bind
def bind(self, address):
    _bind(self, address)
    print('bound', address[1], time.process_time(), file=sys.stderr)
socket.socket.bind = bind
from catkincrank.cmdline import main
main()
"""


@final
@dataclass(frozen=True, slots=True)
class StartCost:
    """Processor time of one start, in seconds since the process began.

    Attributes:
        bound_s: Until the socket for callers was bound.
        served_s: Until the first statement was answered.
    """

    bound_s: float
    served_s: float


@final
class _Fleet:
    """Stand-ins of the platform, and gateways on free ports."""

    def __init__(
        self,
        platform: PlatformStandIn,
        folder: Path,
        root: Path,
        *,
        is_compiled: bool,
    ) -> None:
        self._platform = platform
        self._folder = folder
        libraries = Path(anyio.__file__).parent.parent
        self._environment = {
            **os.environ,
            'PYTHONPATH': '{0}:{1}'.format(root, libraries),
            'PYTHONPYCACHEPREFIX': str(folder / 'bytecode'),
            'PYTHONDONTWRITEBYTECODE': '' if is_compiled else '1',
        }
        if not is_compiled:
            self._environment.pop('PYTHONPYCACHEPREFIX')

    @contextlib.asynccontextmanager
    async def run_gateway(self, name: str) -> AsyncIterator[StartCost]:
        """Run a gateway; yield its cost once it has served a statement."""
        names = ('callers', 'ready', 'peers', 'status')
        ports = dict(zip(names, find_ports(), strict=True))
        settings = self._folder / '{0}.toml'.format(name)
        text = _SETTINGS.format(name=name, **ports, **self._platform.ports)
        await anyio.Path(settings).write_text(text)
        log = self._folder / '{0}.log'.format(name)
        arguments = ['gateway', '--settings', str(settings)]
        with log.open('wb') as opened:
            # Without the site module: that of a development environment costs
            # more than all that is imported before the sockets are bound.
            process = await anyio.open_process(
                [sys.executable, '-S', '-c', _PROGRAM, *arguments],
                stdout=opened,
                stderr=opened,
                env=self._environment,
                cwd=self._folder,
            )
        try:
            with anyio.fail_after(_LIMIT_S):
                await _call(ports['callers'], process)
            served_s = _read_cpu_s(process.pid)
            yield StartCost(_find_bound_s(log, ports['callers']), served_s)
        finally:
            if process.returncode is None:
                process.kill()
            with anyio.CancelScope(shield=True):
                await process.wait()


async def measure_start(figures: Figures, *, is_quick: bool) -> None:
    """Measure starts with bytecode, as after an installation."""
    costs = await measure_starts(_QUICK_RUNS if is_quick else _RUNS)
    figures.put(
        'start_bound_cpu_s', statistics.median(one.bound_s for one in costs)
    )
    figures.put(
        'start_served_cpu_s', statistics.median(one.served_s for one in costs)
    )


async def measure_starts(
    runs: int,
    root: Path = _ROOT,
    *,
    is_compiled: bool = True,
) -> list[StartCost]:
    """Measure several starts.

    Args:
        runs: Number of starts.
        root: Directory that contains the package to measure.
        is_compiled: Whether the modules' bytecode exists before the start.
    """
    platform = PlatformStandIn(
        {SERVICE: MemoryEndpointGroup(SERVICE, ENDPOINTS)}
    )
    async with anyio.create_task_group() as tasks:
        await tasks.start(platform.run)
        platform.rows.write(CONFIG_TABLE, [], {CONFIG_KEY: make_config()})
        with tempfile.TemporaryDirectory() as folder:
            fleet = _Fleet(
                platform, Path(folder), root, is_compiled=is_compiled
            )
            costs = await _measure(fleet, runs)
        tasks.cancel_scope.cancel()
    return costs


async def _measure(fleet: _Fleet, runs: int) -> list[StartCost]:
    costs = []
    # The holder's start also writes the bytecode.
    async with fleet.run_gateway('holder'):
        for number in range(runs):
            name = 'vm-{0}'.format(number)
            async with fleet.run_gateway(name) as cost:
                costs.append(cost)
    return costs


async def _call(port: int, process: Process) -> None:
    """Return when a statement has been served.

    Raises:
        ChildProcessError: The process has ended.
    """
    while process.returncode is None:
        try:
            async with await anyio.connect_tcp(_HOST, port) as stream:
                await _run_statement(stream)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            await anyio.sleep(_RETRY_S)
        else:
            return
    raise ChildProcessError('the gateway has ended')


async def _run_statement(stream: Any) -> None:
    reader = LineReader(stream)
    await stream.send(_STARTUP)
    await reader.read()
    while True:
        await stream.send(_QUERY)
        answer = await reader.read()
        while answer.startswith(b'ROW'):
            answer = await reader.read()
        if answer.startswith(b'COMPLETE'):
            return
        await reader.read()
        await anyio.sleep(_RETRY_S)


def _read_cpu_s(process_id: int) -> float:
    """Return the processor time of a process; see clock_getcpuclockid(3)."""
    return time.clock_gettime((~process_id << 3) | 2)


def _find_bound_s(log: Path, port: int) -> float:
    found = re.search(r'bound {0} ([\d.]+)'.format(port), log.read_text())
    if found is None:
        raise LookupError('no socket was bound to port {0}'.format(port))
    return float(found.group(1))


def main() -> None:
    """Print the figures of several starts as JSON, in milliseconds."""
    parser = argparse.ArgumentParser(prog='benchmarks.startcosts')
    parser.add_argument('--runs', type=int, default=_RUNS)
    parser.add_argument('--root', type=Path, default=_ROOT)
    parser.add_argument('--uncompiled', action='store_true')
    options = parser.parse_args()

    async def run() -> list[StartCost]:  # noqa: WPS430
        return await measure_starts(
            options.runs, options.root, is_compiled=not options.uncompiled
        )

    costs = anyio.run(run)
    shown = {
        name: sorted(round(1000 * getattr(one, name)) for one in costs)
        for name in StartCost.__slots__
    }
    sys.stdout.write('{0}\n'.format(json.dumps(shown)))


if __name__ == '__main__':
    main()
