"""In-memory stand-ins for endpoints that report log positions."""

from bisect import bisect_right
from dataclasses import dataclass, field
from typing import final

import anyio

from catkincrank.errors import EndpointError
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.position import Position
from catkincrank.gateway.promoter import Promoter, PromotionError
from catkincrank.gateway.roster import EndpointEntry

__all__ = (
    'MemoryEndpointGroup',
    'MemoryEndpoint',
    'MemoryPromoter',
    'Promotion',
    'PrimaryChange',
)

_EMPTY_LOG_POSITION = Position(1, 0)
_DEFAULT_WORK_S = 0.005
_REPLICATION_POLL_S = 0.02


@final
@dataclass(slots=True)
class MemoryEndpoint:
    """One endpoint.

    Attributes:
        endpoint_id: Identifier of the endpoint.
        is_primary: Whether it acts as the primary, even if it was replaced.
        term: Term that it belongs to.
        log: Log entries, each a commit time and a position.
        lag_s: Replication lag in seconds.
        is_up: Whether it answers.
        lost_answers: Number of further statements that run but get no answer.
        work_s: Time that a statement takes, in seconds.
        ran: Request identifiers of statements that ran, in order.
        is_failing: Whether each statement runs but is answered with a failure.
        born_ms: Start time in Unix milliseconds; 0 if not reported.
        is_busy: Whether it is too busy to report its state.
    """

    endpoint_id: str
    is_primary: bool = False
    term: int = 1
    log: list[tuple[float, Position]] = field(default_factory=list)
    lag_s: float = 0
    is_up: bool = True
    lost_answers: int = 0
    work_s: float = _DEFAULT_WORK_S
    ran: list[bytes] = field(default_factory=list)
    is_failing: bool = False
    born_ms: int = 0
    is_busy: bool = False

    @property
    def position(self) -> Position:
        """Position of the newest entry."""
        return self.log[-1][1] if self.log else _EMPTY_LOG_POSITION


@final
@dataclass(frozen=True, slots=True)
class PrimaryChange:
    """A change of primary.

    Attributes:
        at: Time at which it took effect, in seconds.
        term: The new term.
        position: Position of the new primary when it was promoted.
    """

    at: float
    term: int
    position: Position


@final
class MemoryEndpointGroup:
    """Endpoints of one service.

    Args:
        service: Name of the service.
        names: Identifiers of the endpoints; the first is the primary.
        promote_s: Time that a promotion takes, in seconds.

    Attributes:
        sync_replicas: Replicas that receive a commit before it is acknowledged.
        newest_primary: Primary of the newest term, even if it was demoted.
        primary_changes: Changes of the primary so far.
    """

    def __init__(
        self,
        service: str,
        names: tuple[str, ...],
        promote_s: float = 0.3,
    ) -> None:
        self.service = service
        self.promote_s = promote_s
        self.sync_replicas = 0
        self.instances = {name: MemoryEndpoint(name) for name in names}
        self.newest_primary = self.instances[names[0]]
        self.newest_primary.is_primary = True
        self.primary_changes: list[PrimaryChange] = []

    def list_entries(self) -> list[EndpointEntry]:
        """Return the registrations of the endpoints."""
        return [
            EndpointEntry(
                one.endpoint_id,
                self.service,
                '127.0.0.1',
                port,
                'zone',
                2,
                claims_primary=one.is_primary,
            )
            for port, one in enumerate(self.instances.values(), 1)
        ]

    def commit(self, instance: MemoryEndpoint) -> Position:
        """Append an entry to a primary's log."""
        position = Position(instance.term, instance.position.number + 1)
        instance.log.append((anyio.current_time(), position))
        return position

    async def wait_received(
        self, instance: MemoryEndpoint, position: Position
    ) -> None:
        """Wait until enough replicas have received a commit of a primary.

        Raises:
            EndpointError: The primary stopped or was replaced meanwhile.
        """
        while self._count_holders(position) <= self.sync_replicas:
            is_replaced = instance is not self.newest_primary
            if is_replaced or not instance.is_up:
                raise EndpointError('no replica received it', was_sent=True)
            await anyio.sleep(_REPLICATION_POLL_S)
            self.catch_up()

    def catch_up(self) -> None:
        """Replicate the entries that are older than each replica's lag."""
        source = self.newest_primary
        if not source.is_up:
            return
        now = anyio.current_time()
        for one in self.instances.values():
            if one.is_primary or not one.is_up:
                continue
            arrived = bisect_right(source.log, now - one.lag_s, key=_time_of)
            if arrived > len(one.log):
                one.log = source.log[:arrived]
            one.term = source.term

    def promote(self, endpoint_id: str) -> None:
        """Make an endpoint the primary of the next term with its own log."""
        chosen = self.instances[endpoint_id]
        if chosen is self.newest_primary:
            return
        chosen.term = self.newest_primary.term + 1
        chosen.is_primary = True
        self.newest_primary = chosen
        now = anyio.current_time()
        self.primary_changes.append(
            PrimaryChange(now, chosen.term, chosen.position)
        )
        for one in self.instances.values():
            one.log = one.log[: len(chosen.log)]

    def restart(self, instance: MemoryEndpoint, born_ms: int) -> None:
        """Restart an endpoint as a replica with an empty log."""
        instance.is_primary = False
        instance.is_up = True
        instance.log = []
        instance.born_ms = born_ms

    def describe(self, instance: MemoryEndpoint) -> EndpointState:
        """Return the state that an endpoint reports."""
        self.catch_up()
        return EndpointState(
            instance.is_primary,
            instance.term,
            instance.position,
            instance.term,
        )

    def _count_holders(self, position: Position) -> int:
        """Return how many endpoints hold a commit, the primary included."""
        return sum(one.position >= position for one in self.instances.values())


def _time_of(entry: tuple[float, Position]) -> float:
    return entry[0]


@final
@dataclass(frozen=True, slots=True)
class Promotion:
    """A promotion request that the platform received."""

    at: float
    service: str
    endpoint_id: str
    holder: str
    token: int


@final
class MemoryPromoter(Promoter):
    """Promotes endpoints of groups in this process.

    Args:
        groups: The groups by service.
        holder: Name of the calling process.
        calls: List to which calls are appended.
    """

    def __init__(
        self,
        groups: dict[str, MemoryEndpointGroup],
        holder: str,
        calls: list[Promotion],
    ) -> None:
        self._groups = groups
        self._holder = holder
        self._calls = calls

    async def promote(self, service: str, endpoint_id: str, token: int) -> None:
        """Make an endpoint the primary."""
        group = self._groups[service]
        if not group.instances[endpoint_id].is_up:
            raise PromotionError(
                'not running',
                may_have_applied=False,
                is_refused=True,
            )
        now = anyio.current_time()
        self._calls.append(
            Promotion(now, service, endpoint_id, self._holder, token),
        )
        await anyio.sleep(group.promote_s)
        group.promote(endpoint_id)
