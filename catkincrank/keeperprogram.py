"""The keeper program: its flags, and the services of its process."""

from dataclasses import dataclass
from functools import partial
from typing import Any, final

import anyio

from catkincrank.admin import AdminHooks, AdminServer
from catkincrank.keeper import Keeper, KeeperOptions, PeerAddress, serve
from catkincrank.keeperdump import dump_keeper
from catkincrank.leavingservice import LeavingService
from catkincrank.listenaddress import parse_address
from catkincrank.metrics import Metrics
from catkincrank.relayservice import ALL_TEAMS, RelayService
from catkincrank.settingsreport import expose_settings
from catkincrank.shutdown import stop_at_signal
from catkincrank.statedump import dump_process
from catkincrank.storeaddress import open_store

__all__ = (
    'KeeperFlags',
    'PeerFlag',
    'extend_keeper',
    'make_options',
    'run',
)

_LEAVE_NOTICE_S = 0.5


@final
@dataclass(frozen=True, slots=True)
class PeerFlag:
    """Another keeper, as ``NAME/ZONE/HOST:PORT``.

    Attributes:
        address: The parsed address.
    """

    address: PeerAddress

    @classmethod
    def parse(cls, text: str) -> 'PeerFlag':
        """Return the peer that ``text`` describes."""
        parsed = parse_address('--peers', text, 'NAME/ZONE/HOST:PORT')
        return cls(PeerAddress(*parsed.names, parsed.host, parsed.port))


@final
@dataclass(frozen=True, slots=True)
class KeeperFlags:
    """Options of a keeper.

    Attributes:
        name: Name of its VM.
        zone: Availability zone it runs in.
        host: IP address to listen on.
        port: TCP port to listen on.
        store: URL of the platform's service.
        teams: Teams to follow besides those that proxies ask for; * is
            every team in the store.
        peers: Other keepers, NAME/ZONE/HOST:PORT separated by commas.
        admin_host: IP address of the admin port.
        admin_port: TCP port of the admin port; 0 picks a free one.
    """

    name: str
    zone: str
    host: str = '127.0.0.1'
    port: int = 7432
    store: str = ''
    teams: tuple[str, ...] = (ALL_TEAMS,)
    peers: tuple[PeerFlag, ...] = ()
    admin_host: str = '127.0.0.1'
    admin_port: int = 0


async def run(flags: KeeperFlags) -> None:
    """Run a keeper until it receives a signal to stop."""
    async with anyio.create_task_group() as tasks:
        stopping = anyio.Event()
        tasks.start_soon(stop_at_signal, stopping.set)
        keeper = await tasks.start(serve, make_options(flags))
        await stopping.wait()
        keeper.fleet.leave()
        await anyio.sleep(_LEAVE_NOTICE_S)
        tasks.cancel_scope.cancel()


def make_options(flags: KeeperFlags) -> KeeperOptions:
    """Return the options of a keeper that also distributes settings."""
    return KeeperOptions(
        flags.name,
        flags.zone,
        flags.host,
        flags.port,
        store=open_store(flags.store) if flags.store else None,
        peers=tuple(peer.address for peer in flags.peers),
        extensions=(partial(extend_keeper, flags),),
    )


async def extend_keeper(flags: KeeperFlags, keeper: Keeper) -> None:
    """Distribute settings and serve the admin port of a keeper."""
    async with anyio.create_task_group() as tasks:
        service = RelayService(keeper, flags.teams, tasks)
        tasks.start_soon(service.run)
        tasks.start_soon(LeavingService(keeper, service).run)
        metrics = Metrics()
        expose_settings(metrics, service.report)
        server = AdminServer(_make_hooks(keeper, service), metrics)
        await server.serve(flags.admin_host, flags.admin_port)


def _make_hooks(keeper: Keeper, service: RelayService) -> AdminHooks:
    def dump() -> dict[str, Any]:  # noqa: WPS430
        state = dump_process(keeper, 'keeper', service.report())
        return {**state, **dump_keeper(keeper)}

    return AdminHooks(dump, lambda: service.report().list_obstacles())
