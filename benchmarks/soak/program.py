"""A gateway process with its settings file."""

import random
import signal
import socket
import sys
from pathlib import Path
from typing import Any, final

import anyio
import msgspec
from anyio.abc import Process

from catkincrank.errors import CatkincrankError
from catkincrank.httpclient import HttpClient

__all__ = ('Program', 'find_ports')

_HOST = '127.0.0.1'
# Below the ephemeral ports, which the operating system assigns by itself.
_FIRST_PORT = 18000
_LAST_PORT = 32000
_GRACE_S = 6
_STOP_TIMEOUT_S = 20
_REQUEST_TIMEOUT_S = 1
_PROBE_INTERVAL_S = 0.2
_OK = 200
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
address = "127.0.0.1:{promoter}"
[bounds]
grace_s = {grace}
"""


@final
class Program:  # noqa: WPS214
    """A gateway process that can be stopped and restarted.

    Args:
        name: Name of its VM.
        folder: Directory of its settings and logs.
        store: Port of the injector before the store.
        promoter: Port of the injector before the promotion service.

    Attributes:
        port: Port for callers.
        status_port: Port that serves its state.
        incarnation: Number of starts so far.
        is_open: Whether a load balancer would route callers to it.
        is_expected_up: Whether it should be running.
        lock: Held while the process is stopped and started.
        source: Directory of the build that the next start runs; ``None`` for
            this one.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        store: int,
        promoter: int,
    ) -> None:
        self.name = name
        self.port = 0
        self.status_port = 0
        self.incarnation = 0
        self.is_open = False
        self.is_expected_up = False
        self.lock = anyio.Lock()
        self.source: Path | None = None
        self._folder = folder
        self._upstreams = {'store': store, 'promoter': promoter}
        self._process: Process | None = None
        self._ready_port = 0

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; ``None`` while it runs."""
        return self._process and self._process.returncode

    async def start(self) -> None:
        """Start the process on new ports."""
        self.incarnation += 1
        ports = find_ports()
        self.port = ports[0]
        self._ready_port = ports[1]
        self.status_port = ports[3]
        path = self._folder / '{0}.toml'.format(self.name)
        text = _SETTINGS.format(
            name=self.name,
            callers=self.port,
            ready=self._ready_port,
            peers=ports[2],
            status=self.status_port,
            grace=_GRACE_S,
            **self._upstreams,
        )
        path.write_text(text)
        log = self._folder / '{0}-{1}.log'.format(self.name, self.incarnation)
        with log.open('wb') as stream:
            self._process = await anyio.open_process(
                [
                    sys.executable,
                    '-m',
                    'catkincrank',
                    'gateway',
                    '--settings',
                    str(path),
                ],
                cwd=self.source,
                stdout=stream,
                stderr=stream,
            )
        self.is_expected_up = True

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.is_running:
            self._process.send_signal(signum)

    async def stop(self, signum: signal.Signals) -> None:
        """Send a signal and wait for the exit; kill after a timeout."""
        self.is_expected_up = False
        self.is_open = self.is_open and signum is signal.SIGTERM
        self.send_signal(signum)
        with anyio.move_on_after(_STOP_TIMEOUT_S):
            await self._process.wait()
        self.is_open = False
        if self.is_running:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def poll_readiness(self) -> None:
        """Poll readiness as a load balancer does, until cancelled."""
        while True:
            await anyio.sleep(_PROBE_INTERVAL_S)
            if not (self.is_running and self._ready_port):
                continue
            found = await self._get(self._ready_port, '/v1/ready')
            self.is_open = found is not None

    async def fetch_state(self) -> dict[str, Any] | None:
        """Return the state dump, or ``None`` without an answer."""
        body = await self._get(self.status_port, '/state')
        return None if body is None else msgspec.json.decode(body)

    async def _get(self, port: int, path: str) -> bytes | None:
        client = HttpClient(
            'http://{0}:{1}'.format(_HOST, port), _REQUEST_TIMEOUT_S
        )
        try:
            answer = await client.request('GET', path)
        except CatkincrankError:
            return None
        finally:
            await client.reset()
        return answer.body if answer.status == _OK else None


def find_ports() -> tuple[int, int, int, int]:
    """Return four consecutive free ports."""
    while True:
        first = random.randrange(_FIRST_PORT, _LAST_PORT)
        ports = tuple(range(first, first + 4))
        if all(map(_is_free, ports)):
            return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
