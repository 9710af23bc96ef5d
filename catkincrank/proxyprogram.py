"""Command-line program of the proxy: flags, signals and admin port."""

import os
from dataclasses import dataclass
from functools import partial
from typing import Any, final

from catkincrank.admin import AdminHooks, AdminServer
from catkincrank.feedclient import KeeperAddress
from catkincrank.leavingclient import drain_on_notice
from catkincrank.listenaddress import parse_address
from catkincrank.metrics import Metrics
from catkincrank.proxy import Proxy, ProxyOptions, serve
from catkincrank.proxystate import describe_proxy
from catkincrank.settingsreport import expose_settings
from catkincrank.shutdown import stop_at_signal

__all__ = (
    'KeeperFlag',
    'ProxyFlags',
    'drain_at_signal',
    'run',
    'serve_admin',
)


@final
@dataclass(frozen=True, slots=True)
class KeeperFlag:
    """A keeper given as ``NAME/HOST:PORT``.

    Attributes:
        address: Parsed name and address.
    """

    address: KeeperAddress

    @classmethod
    def parse(cls, text: str) -> 'KeeperFlag':
        """Parse ``NAME/HOST:PORT``."""
        parsed = parse_address('--keepers', text, 'NAME/HOST:PORT')
        return cls(KeeperAddress(*parsed.names, parsed.host, parsed.port))


@final
@dataclass(frozen=True, slots=True)
class ProxyFlags:
    """Command-line options of a proxy.

    Attributes:
        name: Name of the process.
        zone: Availability zone it runs in.
        host: IP address to listen on.
        port: TCP port to listen on, shared with other proxies of the VM.
        keepers: Comma-separated keepers, NAME/HOST:PORT, the VM's own first.
        drain_limit_s: Longest time that a drain waits for callers, in seconds.
        admin_host: IP address of the admin port.
        admin_port: TCP port of the admin port; 0 picks a free one.
    """

    name: str
    zone: str
    host: str = '127.0.0.1'
    port: int = 6432
    keepers: tuple[KeeperFlag, ...] = ()
    drain_limit_s: float = 30
    admin_host: str = '127.0.0.1'
    admin_port: int = 0


async def run(flags: ProxyFlags) -> None:
    """Run a proxy until it is cancelled or has drained."""
    await serve(
        ProxyOptions(
            flags.name,
            flags.zone,
            flags.host,
            flags.port,
            keepers=tuple(keeper.address for keeper in flags.keepers),
            environment=os.environ,
            drain_limit_s=flags.drain_limit_s,
            extensions=(
                drain_at_signal,
                drain_on_notice,
                partial(serve_admin, flags),
            ),
        ),
    )


async def drain_at_signal(proxy: Proxy) -> None:
    """Drain a proxy at the first termination signal."""
    await stop_at_signal(proxy.request_drain)


async def serve_admin(flags: ProxyFlags, proxy: Proxy) -> None:
    """Serve the admin port of a proxy."""
    metrics = Metrics()
    proxy.tally.expose(metrics)
    expose_settings(metrics, proxy.settings.report)
    hooks = AdminHooks(
        dump_state=partial(_dump_state, proxy),
        list_obstacles=proxy.list_obstacles,
        request_drain=proxy.request_drain,
    )
    await AdminServer(hooks, metrics).serve(flags.admin_host, flags.admin_port)


def _dump_state(proxy: Proxy) -> dict[str, Any]:
    return describe_proxy(proxy).as_map()
