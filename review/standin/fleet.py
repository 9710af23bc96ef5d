# flake8: noqa: WPS
# Test code: exempt from the style guide's rules like ``tests``.
"""Gateways as separate processes, their callers and the record of a case."""

import asyncio
import json
import os
import secrets
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from review.standin.instances import Service
from review.standin.store import HOST, Cloud, Store

ROOT = Path(__file__).resolve().parents[2]
# ``run.sh`` turns it into 1; the interpreter itself exits with 1 on errors.
_BROKEN_STATUS = 10
_FIRST_PORT = 20000
_LAST_PORT = 31000
_SETTINGS = """
node = "{node}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region-a"
internal_ports = [{peer}, {peer_end}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
zone-a = "region-a"
zone-b = "region-a"
zone-c = "region-a"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 7000
grace_s = {grace}
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_skew_ms = 12000
recovery_s = 12
require_fence = false
thaw_slack_ms = 300
[platform]
address = "127.0.0.1:{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 8.0
partition_writes_s = 150
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[cloud]
address = "127.0.0.1:{cloud}"
rate_per_s = 50.0
duties = ["failover"]
duty_per_s = 50.0
"""
# Codes by which a caller is promised that nothing of its attempt is kept.
PROMISES = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'OVERLOAD')
)


class CannotRunError(Exception):
    """The case could not be set up."""


class Answer:
    """Answer to one request.

    Attributes:
        rows: Contents of its rows.
        is_done: Whether it is a success.
        code: Code of the error.
        state: Transaction state afterwards.
        at: When it was complete.
    """

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.is_done = False
        self.code = ''
        self.signature = ''
        self.state = ''
        self.at: float = 0


class Client:
    """One session of a client.

    Attributes:
        outstanding: Request without an answer: id, text and when it was sent.
    """

    def __init__(self, record: 'Record', port: int) -> None:
        self._record = record
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.outstanding: tuple[str, str, float] | None = None
        self.last_id = ''
        self.on_send: Callable[[str], object] = str

    async def open(self, database: str, *fields: str) -> str:
        """Open the session; return the first word of the answer and a code."""
        self._reader, self._writer = await asyncio.open_connection(
            HOST, self._port, limit=2**21
        )
        startup = ' '.join(('STARTUP', database, *(fields or ('user',))))
        self._writer.write('{0}\r\n'.format(startup).encode())
        line = (await self._reader.readuntil(b'\r\n'))[:-2].decode()
        words = line.split(' ')
        return words[0] if words[0] == 'READY' else words[1]

    async def ask(self, text: str) -> Answer:
        """Send a request and return its answer.

        Raises:
            OSError: The connection was reset.
            asyncio.IncompleteReadError: The connection was closed.
        """
        request_id = secrets.token_hex(8)
        sent_at = time.monotonic()
        self.outstanding = (request_id, text, sent_at)
        self.last_id = request_id
        self.on_send(request_id)
        self._writer.write(
            'QUERY {0} {1}\r\n'.format(request_id, text).encode()
        )
        answer = Answer()
        while True:
            line = (await self._reader.readuntil(b'\r\n'))[:-2].decode()
            word, _, rest = line.partition(' ')
            if word == 'ROW':
                answer.rows.append(rest)
            elif word == 'COMPLETE':
                answer.is_done = True
                answer.signature = rest
            elif word == 'ERROR':
                answer.code = rest.split(' ')[0]
            else:
                answer.state = rest.split(' ')[0]
                break
        answer.at = time.monotonic()
        self.outstanding = None
        self._record.add(
            'answer {0} {1} {2} after {3:.0f} ms: {4}'.format(
                self._port,
                request_id,
                text,
                (answer.at - sent_at) * 1000,
                answer.signature or answer.code,
            ),
            sent_at,
        )
        return answer

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.transport.abort()


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line."""
        self._lines.append((time.monotonic() if at is None else at, text))

    def write(self, path: Path) -> None:
        """Write the lines in the order of their times."""
        with path.open('w') as stream:
            for at, text in sorted(self._lines):
                stream.write('{0:9.3f} {1}\n'.format(at - self._began_at, text))


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(
        self, name: str, zone: str, folder: Path, **ports: int
    ) -> None:
        self.name = name
        self.ports = {**dict(zip(_PORT_NAMES, find_ports())), **ports}
        self._folder = folder
        self._settings = folder / '{0}.toml'.format(name)
        self._settings.write_text(
            _SETTINGS.format(
                node=name,
                zone=zone,
                peer_end=self.ports['peer'] + 1,
                **self.ports,
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['gateway']['run'].replace(
            '{{node}}', self.name
        )
        words = shlex.split(command)
        log = (self._folder / '{0}.log'.format(self.name)).open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'CATKINCRANK_BOOT': str(self._settings),
            },
            stdout=log,
            stderr=log,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the process answers 200 at its ready address."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ports['ready']
            )
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: n\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
        except (OSError, TimeoutError):
            return False
        writer.transport.abort()
        return b' 200' in line

    async def end(self) -> None:
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


_PORT_NAMES = ('front', 'ready', 'peer', 'status')


class Deployment:
    """A small deployment: store, services, gateways and the record."""

    def __init__(self, gateways: int = 3, grace_s: int = 6) -> None:
        self.record = Record()
        self.store = Store()
        self.services: list[Service] = []
        self.gateways: list[Gateway] = []
        self.cloud = Cloud(self._promote)
        self._count = gateways
        self._grace_s = grace_s
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self._tasks: list[asyncio.Task] = []
        self._configuration: dict = {}

    @property
    def folder(self) -> Path:
        """Folder of settings and logs."""
        return Path(self._folder.name)

    def add_service(self, name: str, **figures: object) -> Service:
        """Add a service with three instances."""
        service = Service(self.store, name, **figures)
        self.services.append(service)
        return service

    def configure(
        self, version: int, routes: list[dict], **more: object
    ) -> None:
        """Write a configuration."""
        self._configuration = {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': one.name,
                    'max_connections': one.max_connections,
                    'sync_replicas': one.sync_replicas,
                }
                for one in self.services
            ],
            'limits': {'tx_idle_ms': 3000},
            **more,
        }
        self.store.put('op', 'config', self._configuration)

    async def start(self) -> None:
        """Start everything; the configuration has to be written before.

        Raises:
            CannotRunError: The gateways do not become ready.
        """
        await self.store.start()
        await self.cloud.start()
        for service in self.services:
            await service.start()
            self._tasks.append(asyncio.create_task(service.run()))
        zones = ('zone-a', 'zone-b', 'zone-c')
        for number in range(self._count):
            gateway = Gateway(
                'front-{0}'.format(number + 1),
                zones[number % len(zones)],
                self.folder,
                store=self.store.port,
                cloud=self.cloud.port,
                grace=self._grace_s,
            )
            self.gateways.append(gateway)
            await gateway.start()
        await self.wait_ready()

    async def wait_ready(self, limit_s: float = 30) -> None:
        """Wait until every gateway is ready.

        Raises:
            CannotRunError: They do not become ready in time.
        """
        ends_at = time.monotonic() + limit_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > ends_at:
                    raise CannotRunError('gateways are not ready')
                await asyncio.sleep(0.1)

    async def wait_served(self, database: str, text: str) -> None:
        """Wait until every gateway serves a request.

        Raises:
            CannotRunError: One does not in time.
        """
        ends_at = time.monotonic() + 20
        for gateway in self.gateways:
            while True:
                client = Client(self.record, gateway.ports['front'])
                await client.open(database)
                answer = await client.ask(text)
                client.close()
                if answer.is_done:
                    break
                if time.monotonic() > ends_at:
                    raise CannotRunError('no service')
                await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """End all processes and tasks."""
        for gateway in self.gateways:
            await gateway.end()
        for task in self._tasks:
            task.cancel()
        for service in self.services:
            for at, text in service.events:
                self.record.add(text, at)
            for request_id, name, at in service.runs:
                self.record.add('run {0} at {1}'.format(request_id, name), at)
        if not os.environ.get('KEEP'):
            self._folder.cleanup()

    async def _promote(
        self, service: str, name: str, holder: str, token: int
    ) -> int:
        for one in self.services:
            if one.name == service:
                return await one.promote(service, name, holder, token)
        return 409


def find_ports() -> list[int]:
    """Return four consecutive free ports."""
    while True:
        first = _FIRST_PORT + secrets.randbelow(_LAST_PORT - _FIRST_PORT)
        ports = list(range(first, first + len(_PORT_NAMES)))
        if all(map(_is_free, ports)):
            return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def run_case(play: object, folder: Path) -> None:
    """Play a case and exit with its status.

    Args:
        play: Coroutine function that takes a deployment and whether the
            disruption is played, and returns the broken rule or nothing.
        folder: Folder of the case, for ``record.txt``.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(_run_case(play, folder, has_trouble))
    except (Exception, asyncio.CancelledError) as error:
        sys.stderr.write('cannot run: {0!r}\n'.format(error))
        sys.exit(2)
    sys.stdout.write('{0}\n'.format(broken or 'held'))
    sys.exit(_BROKEN_STATUS if broken else 0)


async def _run_case(play: object, folder: Path, has_trouble: bool) -> str:
    deployment = Deployment()
    broken = ''
    # Processes are ended as well if the script is told to stop.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        async with asyncio.timeout(110):
            broken = await play(deployment, has_trouble)
    finally:
        await deployment.stop()
        deployment.record.add('verdict: {0}'.format(broken or 'held'))
        deployment.record.write(folder / 'record.txt')
    return broken


def make_route(database: str, service: str, kind: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        'name': 'route-{0}'.format(database),
        'host': database,
        'type': kind,
        'service': service,
        'timeout_ms': 800,
        'target_latency_ms': 500,
        'priority': 1,
        'max_staleness_ms': 1500,
        **more,
    }


def dump(content: object) -> str:
    """Return a value as one line of text."""
    return json.dumps(content, sort_keys=True)
