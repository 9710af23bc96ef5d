"""Options of a keeper."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, final

from catkincrank.membership import PeerAddress
from catkincrank.settings import Team
from catkincrank.store import Store

__all__ = ('KeeperOptions',)


@final
@dataclass(frozen=True, slots=True)
class KeeperOptions:
    """Options of a keeper.

    Attributes:
        name: Name of its VM.
        zone: Availability zone it runs in.
        host: IP address to listen on.
        port: TCP port to listen on; 0 picks a free one.
        store: The platform's store; ``None`` runs without one.
        teams: Subtrees of the settings known at the start, by team.
        peers: Other keepers known at the start.
        extensions: Tasks to run with the keeper, which is their argument.
    """

    name: str
    zone: str
    host: str = '127.0.0.1'
    port: int = 0
    store: Store | None = None
    teams: dict[str, Team] = field(default_factory=dict)
    peers: tuple[PeerAddress, ...] = ()
    extensions: tuple[Callable[[Any], Awaitable[None]], ...] = ()
