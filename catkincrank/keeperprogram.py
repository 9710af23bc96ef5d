"""The keeper as a program: its flags, and what runs beside it."""

from dataclasses import dataclass
from typing import final

from catkincrank.errors import OptionError
from catkincrank.keeper import KeeperOptions, PeerAddress, serve

__all__ = ('KeeperFlags', 'PeerFlag', 'run')

_PEER_PARTS = 3


@final
@dataclass(frozen=True, slots=True)
class PeerFlag:
    """Another keeper, as ``NAME/ZONE/HOST:PORT``.

    Attributes:
        address: What the text stands for.
    """

    address: PeerAddress

    @classmethod
    def parse(cls, text: str) -> 'PeerFlag':
        """Return the peer that ``text`` names."""
        parts = text.split('/')
        host, _, port = parts[-1].rpartition(':')
        if len(parts) != _PEER_PARTS or not host or not port.isdecimal():
            raise OptionError('--peers', text, 'NAME/ZONE/HOST:PORT')
        return cls(PeerAddress(parts[0], parts[1], host, int(port)))


@final
@dataclass(frozen=True, slots=True)
class KeeperFlags:
    """Options of a keeper.

    Attributes:
        name: Name of its VM.
        zone: Availability zone it runs in.
        host: IP number to listen on.
        port: TCP port to listen on.
        store: URL of the platform's service.
        peers: Other keepers, NAME/ZONE/HOST:PORT parted by commas.
        admin_host: IP number of the admin port.
        admin_port: TCP port of the admin port; 0 takes a free one.
    """

    name: str
    zone: str
    host: str = '127.0.0.1'
    port: int = 7432
    store: str = ''
    peers: tuple[PeerFlag, ...] = ()
    admin_host: str = '127.0.0.1'
    admin_port: int = 0


async def run(flags: KeeperFlags) -> None:
    """Run a keeper until cancelled."""
    await serve(
        KeeperOptions(
            flags.name,
            flags.zone,
            flags.host,
            flags.port,
            peers=tuple(peer.address for peer in flags.peers),
        ),
    )
