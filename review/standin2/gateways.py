"""Gateways as separate processes, started as the deploy file says."""

import os
import random
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import final

import anyio

from catkincrank.errors import CatkincrankError
from catkincrank.httpclient import HttpClient

__all__ = ('GatewayProcess',)

_HOST = '127.0.0.1'
_ROLE = 'gateway'
_KEPT_VARIABLES = ('PATH', 'HOME', 'LANG')
# Below the ephemeral ports, which the operating system assigns by itself.
_FIRST_PORT = 18000
_LAST_PORT = 32000
_PORT_NAMES = ('front', 'ready', 'peers', 'status')
_READY_POLL_S = 0.1
_ENDED_WAIT_S = 5
_OK = 200
_SETTINGS = """
node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "spr-hall-a"
region = "sapporo"
internal_ports = [{peers}, {status}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
spr-hall-a = "sapporo"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
memory_mb = 300
max_fds = 4300
[bounds]
grace_s = 6
[platform]
address = "{host}:{store}"
[cloud]
address = "{host}:{cloud}"
duties = ["failover"]
"""


@final
class GatewayProcess:
    """One gateway process.

    Args:
        name: Name of its VM.
        folder: Directory of its settings and log.
        store: Port of the platform's store.
        cloud: Port of the platform's interface for promotions.

    Attributes:
        name: Name of its VM.
    """

    def __init__(self, name: str, folder: Path, store: int, cloud: int) -> None:
        self.name = name
        self._folder = folder
        self._upstreams = {'store': store, 'cloud': cloud}
        self._process: subprocess.Popen[bytes] | None = None
        self._ports: dict[str, int] = {}

    @property
    def port(self) -> int:
        """Port for callers."""
        return self._ports['front']

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        if not self._ports:
            self._ports = _find_ports()
        path = self._folder / '{0}.toml'.format(self.name)
        path.write_text(
            _SETTINGS.format(
                name=self.name, host=_HOST, **self._ports, **self._upstreams
            )
        )
        variables = {
            name: os.environ[name]
            for name in _KEPT_VARIABLES
            if name in os.environ
        }
        variables['PYTHONPATH'] = 'target/deps'
        variables['CATKINCRANK_BOOT'] = str(path)
        log = self._folder / '{0}.log'.format(self.name)
        with log.open('ab') as stream:
            self._process = subprocess.Popen(  # noqa: S603
                _read_command(self.name),
                env=variables,
                stdout=stream,
                stderr=stream,
            )

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(signum)

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(_ENDED_WAIT_S)

    async def wait_ready(self) -> None:
        """Wait until the process counts as ready.

        It is started anew if it lost a port to another program.
        """
        while not await self._is_ready():
            if self._process.poll() is not None:
                self._ports = {}
                self.start()
            await anyio.sleep(_READY_POLL_S)

    async def _is_ready(self) -> bool:
        client = HttpClient(
            'http://{0}:{1}'.format(_HOST, self._ports['ready']), 1
        )
        try:
            answer = await client.request('GET', '/v1/ready')
        except CatkincrankError:
            return False
        finally:
            await client.reset()
        return answer.status == _OK


def _read_command(name: str) -> list[str]:
    with open('deploy/system.toml', 'rb') as opened:
        command = tomllib.load(opened)['roles'][_ROLE]['run']
    return shlex.split(command.replace('{{node}}', name))


def _find_ports() -> dict[str, int]:
    """Return a free port for each purpose."""
    while True:
        first = random.randrange(_FIRST_PORT, _LAST_PORT)
        ports = {name: first + at for at, name in enumerate(_PORT_NAMES)}
        if all(map(_is_free, ports.values())):
            return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
