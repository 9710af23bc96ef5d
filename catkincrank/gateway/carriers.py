"""Chooses the carriers of endpoints that accept few connections.

Where processes outnumber the connections that an endpoint accepts, or the
statements that it can run and queue, or would have a single connection each,
only some processes (the carriers) connect to it, with persistent connections;
the others send them their statements.
Sharing the connections in turn would open a new one for most statements. One
connection for each process would let all of them send at once to an endpoint
that refuses what it cannot queue.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.logs import log_event
from catkincrank.relaytree import rank_names

__all__ = ('Carriers', 'ConnectionShare', 'share_connections')

# Connections left out of all shares: for the probes of the lease holder, and
# for members that are not in the fleet's table yet.
_RESERVED_CONNECTIONS = 2
# Statements that an endpoint queues per slot before it refuses more.
_QUEUED_PER_SLOT = 8
# A process with one connection serves nobody while a transaction holds it, and
# the connections of processes with few callers are idle meanwhile.
_MIN_DIRECT_CONNECTIONS = 2
# A carrier needs several links to share them fairly between callers.
_LINKS_PER_CARRIER = 6
# A carrier that is unreachable or leaving is retried after this time, for which
# its row may remain in the table after it has stopped.
_AVOIDANCE_S = 2.0
# A carrier also reports when an endpoint is slow, so requests rarely time out.
# One that left requests unanswered for this long in all, without a reply in
# between, is considered failed.
_MAX_SILENCE_S = 0.8
# Members that take the place of an endpoint's carriers while all of them are
# avoided. If every process connected itself, opening the connections would
# occupy the endpoint's slots, and keep the carriers slow.
_SUBSTITUTES = 4


@final
@dataclass(frozen=True, slots=True)
class ConnectionShare:
    """Connections that this process may hold to an endpoint.

    Attributes:
        limit: Maximum number with statements running or queued.
        max_open: Maximum number, including those idle in transactions.
        is_contended: Whether other processes need the connections, so that
            none is kept idle.
        max_held: Maximum number including idle ones of organisations, if that
            is more than ``limit``.
    """

    limit: int
    max_open: int
    is_contended: bool = False
    max_held: int = 0


@final
class Carriers:  # noqa: WPS214
    """Chooses the carriers of each endpoint.

    Args:
        own_member: Row of this process in the fleet's table.
        regions: Regions by availability zone.
    """

    __slots__ = (
        '_avoided_until',
        '_connections',
        '_members',
        '_own_member',
        '_ranked',
        '_regions',
        '_silent_s',
    )

    def __init__(
        self, own_member: MemberRecord, regions: Mapping[str, str]
    ) -> None:
        self._own_member = own_member
        self._regions = regions
        self._members: dict[str, MemberRecord] = {}
        self._connections: dict[str, int] = {}
        # Carriers of each endpoint, followed by their substitutes.
        self._ranked: dict[str, list[MemberRecord]] = {}
        self._avoided_until: dict[str, float] = {}
        self._silent_s: dict[str, float] = {}

    def configure(
        self,
        connections: Mapping[str, int],
        members: Mapping[str, MemberRecord],
    ) -> None:
        """Update the inputs of the shares.

        Args:
            connections: Connections that each endpoint accepts, by service.
            members: Processes that share them.
        """
        if connections == self._connections and members == self._members:
            return
        self._connections = dict(connections)
        self._members = dict(members)
        self._ranked = {}

    @property
    def own_name(self) -> str:
        """Name of this process."""
        return self._own_member.name

    def share(self, entry: EndpointEntry) -> ConnectionShare:
        """Return the connections that this process may hold."""
        connections = self._connections.get(entry.service, 0)
        if not self._is_scarce(entry):
            members = max(1, len(self._members))
            count = share_connections(connections, members)
            return ConnectionShare(count, count)
        carriers = self._list_carriers(entry)
        if not self._is_own(carriers):
            return ConnectionShare(1, 1, is_contended=True)
        max_open = share_connections(connections, len(carriers))
        in_flight = -(-self._count_in_flight(entry) // len(carriers))
        limit = min(max_open, in_flight)
        # A carrier that takes the place of a failed one finds room at once,
        # although the endpoint counts the failed one's connections for 3 s.
        max_held = share_connections(connections - limit, len(carriers))
        return ConnectionShare(
            limit, max_open, max_held=max(limit, min(max_open, max_held))
        )

    def find(self, entry: EndpointEntry, now: float) -> MemberRecord | None:
        """Return the carrier to use; ``None`` to connect directly.

        This process connects directly if it is a carrier, or a substitute that
        is needed, or if none is usable.
        """
        if not self._is_scarce(entry):
            return None
        usable = self._list_usable(entry, now)
        if not usable or self._own_member.name in usable:
            return None
        key = self._own_member.name + entry.endpoint_id
        return usable[rank_names(key, usable)[0]]

    def find_shared(
        self,
        entry: EndpointEntry,
        organisation: str,
        now: float,
        is_busy: Callable[[MemberRecord], bool],
    ) -> MemberRecord | None:
        """Return the carrier to use for an organisation.

        All processes choose the same one, so that its links are reused, and the
        same second one for what would queue at the first. ``None`` is to
        connect directly.

        Args:
            entry: The endpoint.
            organisation: Name of the organisation.
            now: Current time in seconds.
            is_busy: Whether this process has many statements at a carrier.
        """
        if not self._is_scarce(entry):
            return None
        usable = self._list_usable(entry, now)
        key = '{0} {1}'.format(organisation, entry.endpoint_id)
        ranked = [usable[name] for name in rank_names(key, usable)]
        if len(ranked) > 1 and not self._is_own(ranked[:1]):
            ranked = ranked[int(is_busy(ranked[0])) :]
        if not ranked or self._is_own(ranked[:1]):
            return None
        return ranked[0]

    def resolve(
        self, entry: EndpointEntry, name: str, now: float
    ) -> MemberRecord | None:
        """Return the carrier that a link is to be opened to.

        Args:
            entry: The endpoint.
            name: Name of the carrier, or of this process for any carrier.
            now: Current time in seconds.
        """
        if name == self._own_member.name:
            return self.find(entry, now)
        return self._list_usable(entry, now).get(name)

    def avoid(self, carrier: MemberRecord, now: float, cause: str) -> None:
        """Stop using a carrier temporarily."""
        if self._avoided_until.get(carrier.name, 0) <= now:
            log_event('carrier_avoided', carrier=carrier.name, cause=cause)
        self._avoided_until[carrier.name] = now + _AVOIDANCE_S

    def record_reply(self, carrier: MemberRecord) -> None:
        """Record that a carrier has replied, with any result."""
        self._silent_s.pop(carrier.name, None)

    def record_timeout(
        self, carrier: MemberRecord, sent_at: float, now: float
    ) -> None:
        """Record a timed-out request; avoid a carrier that stays silent.

        Time in which no request was outstanding does not count: a process with
        few callers may not have asked the carrier for long.
        """
        silent_s = self._silent_s.get(carrier.name, 0) + now - sent_at
        self._silent_s[carrier.name] = silent_s
        if silent_s > _MAX_SILENCE_S:
            self.avoid(carrier, now, 'no answer')

    def _list_usable(
        self, entry: EndpointEntry, now: float
    ) -> dict[str, MemberRecord]:
        """Return an endpoint's carriers, by name, that are not avoided.

        Returns the substitutes if all carriers are avoided.
        """
        ranked = self._rank_nearest(entry)
        count = self._count_carriers(entry)
        for candidates in (ranked[:count], ranked[count:]):
            usable = {
                member.name: member
                for member in candidates
                if self._avoided_until.get(member.name, 0) <= now
            }
            if usable:
                return usable
        return {}

    def _is_own(self, carriers: list[MemberRecord]) -> bool:
        """Return whether this process is one of the carriers."""
        return any(one.name == self._own_member.name for one in carriers)

    def _is_scarce(self, entry: EndpointEntry) -> bool:
        """Return whether only carriers connect to an endpoint."""
        members = len(self._members)
        if self._count_in_flight(entry) < members:
            return True
        # The table of members may not have been read yet.
        if members < _MIN_DIRECT_CONNECTIONS:
            return False
        connections = self._connections.get(entry.service, 0)
        share = share_connections(connections, members)
        return share < _MIN_DIRECT_CONNECTIONS

    def _count_in_flight(self, entry: EndpointEntry) -> int:
        """Return how many statements an endpoint can run and queue."""
        usable = self._connections.get(entry.service, 0) - _RESERVED_CONNECTIONS
        return min(usable, entry.slots * _QUEUED_PER_SLOT)

    def _count_carriers(self, entry: EndpointEntry) -> int:
        return max(1, self._count_in_flight(entry) // _LINKS_PER_CARRIER)

    def _list_carriers(self, entry: EndpointEntry) -> list[MemberRecord]:
        """Return an endpoint's carriers, chosen from the nearest members."""
        return self._rank_nearest(entry)[: self._count_carriers(entry)]

    def _rank_nearest(self, entry: EndpointEntry) -> list[MemberRecord]:
        """Return an endpoint's carriers and their substitutes."""
        ranked = self._ranked.get(entry.endpoint_id)
        if ranked is None:
            count = self._count_carriers(entry) + _SUBSTITUTES
            nearest = {
                member.name: member for member in self._list_nearest(entry)
            }
            names = rank_names(entry.endpoint_id, nearest)[:count]
            ranked = [nearest[name] for name in names]
            self._ranked[entry.endpoint_id] = ranked
        return ranked

    def _list_nearest(self, entry: EndpointEntry) -> list[MemberRecord]:
        """Return the members in the endpoint's zone, else region, else all."""
        members = list(self._members.values())
        same_zone = [member for member in members if member.zone == entry.zone]
        region = self._regions.get(entry.zone)
        if same_zone or region is None:
            return same_zone or members
        same_region = [
            member
            for member in members
            if self._regions.get(member.zone) == region
        ]
        return same_region or members


def share_connections(connections: int, members: int) -> int:
    """Return how many connections one process may hold to an endpoint."""
    return max(1, (connections - _RESERVED_CONNECTIONS) // members)
