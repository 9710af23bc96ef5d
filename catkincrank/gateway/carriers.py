"""Chooses which processes carry statements to endpoints with few connections.

Where processes outnumber the connections that an endpoint takes, or the
statements that it can have in hand, only some processes connect to it, and keep
their connections; the others hand them their statements. Taking turns instead
costs a new connection for most statements, and a connection for each process
lets them all press at once on an endpoint that refuses what it cannot queue.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.logs import log_event
from catkincrank.relaytree import rank_names

__all__ = ('Carriers', 'Share', 'share_connections')

# Connections that no share includes: questions of the holder, and members
# that the table does not name yet.
_RESERVED = 2
# Statements that an endpoint queues for each that it runs, before it refuses.
_QUEUED_PER_SLOT = 8
# A carrier shares its links fairly among callers, which needs several.
_LINKS_PER_CARRIER = 6
# A carrier that could not be reached, or leaves, is asked again after this
# time, in seconds: as long as its row may outlive it.
_AVOID_S = 2.0
# A carrier says when an endpoint is late, and answers several times a second;
# one without any answer for this long, in seconds, is taken for gone.
_SILENCE_S = 0.8


@final
@dataclass(frozen=True, slots=True)
class Share:
    """Connections that this process may hold to an endpoint.

    Attributes:
        limit: How many may have statements in hand.
        most: How many, with those that rest in open transactions.
        is_borrowed: Whether others need them, so that none is kept idle.
    """

    limit: int
    most: int
    is_borrowed: bool = False


@final
class Carriers:
    """Who carries statements to which endpoint.

    Args:
        me: Row of this process.
        regions: Regions by availability zone.
    """

    __slots__ = (
        '_answered_at',
        '_avoided',
        '_connections',
        '_me',
        '_members',
        '_plans',
        '_regions',
    )

    def __init__(self, me: MemberRecord, regions: Mapping[str, str]) -> None:
        self._me = me
        self._regions = regions
        self._members: dict[str, MemberRecord] = {}
        self._connections: dict[str, int] = {}
        self._plans: dict[str, list[MemberRecord]] = {}
        self._avoided: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    def configure(
        self,
        connections: Mapping[str, int],
        members: Mapping[str, MemberRecord],
    ) -> None:
        """Take in what the shares depend on.

        Args:
            connections: Connections that each endpoint takes, by service.
            members: Processes that share them.
        """
        if connections == self._connections and members == self._members:
            return
        self._connections = dict(connections)
        self._members = dict(members)
        self._plans = {}

    def share(self, entry: EndpointEntry) -> Share:
        """Return the connections that this process may hold."""
        connections = self._connections.get(entry.service, 0)
        if not self._is_scarce(entry):
            members = max(1, len(self._members))
            count = share_connections(connections, members)
            return Share(count, count)
        carriers = self._list_carriers(entry)
        if self._me not in carriers:
            return Share(1, 1, is_borrowed=True)
        most = share_connections(connections, len(carriers))
        in_hand = -(-self._count_in_hand(entry) // len(carriers))
        return Share(min(most, in_hand), most)

    def find(self, entry: EndpointEntry, now: float) -> MemberRecord | None:
        """Return who carries statements; ``None`` if this process connects.

        Without a carrier that can be reached this process connects itself.
        """
        if not self._is_scarce(entry):
            return None
        carriers = self._list_carriers(entry)
        if self._me in carriers:
            return None
        usable = {
            one.name: one
            for one in carriers
            if self._avoided.get(one.name, 0) <= now
        }
        if not usable:
            return None
        key = self._me.name + entry.endpoint_id
        return usable[rank_names(key, usable)[0]]

    def avoid(self, carrier: MemberRecord, now: float, cause: str) -> None:
        """Do without a carrier for a while."""
        if self._avoided.get(carrier.name, 0) <= now:
            log_event('carrier_avoided', carrier=carrier.name, cause=cause)
        self._avoided[carrier.name] = now + _AVOID_S

    def note_answer(self, carrier: MemberRecord, now: float) -> None:
        """Note that a carrier has answered, whatever it said."""
        self._answered_at[carrier.name] = now

    def note_silence(self, carrier: MemberRecord, now: float) -> None:
        """Note that a question was given up; avoid who answers nothing."""
        answered_at = self._answered_at.setdefault(carrier.name, now)
        if now > answered_at + _SILENCE_S:
            self.avoid(carrier, now, 'no answer')

    def _is_scarce(self, entry: EndpointEntry) -> bool:
        return self._count_in_hand(entry) < len(self._members)

    def _count_in_hand(self, entry: EndpointEntry) -> int:
        """Return how many statements an endpoint can have in hand."""
        usable = self._connections.get(entry.service, 0) - _RESERVED
        return min(usable, entry.slots * _QUEUED_PER_SLOT)

    def _list_carriers(self, entry: EndpointEntry) -> list[MemberRecord]:
        """Return an endpoint's carriers, which are close to it."""
        plan = self._plans.get(entry.endpoint_id)
        if plan is None:
            count = max(1, self._count_in_hand(entry) // _LINKS_PER_CARRIER)
            close = {one.name: one for one in self._list_close(entry)}
            names = rank_names(entry.endpoint_id, close)[:count]
            plan = [close[name] for name in names]
            self._plans[entry.endpoint_id] = plan
        return plan

    def _list_close(self, entry: EndpointEntry) -> list[MemberRecord]:
        """Return the members in the endpoint's zone, else region, else all."""
        members = list(self._members.values())
        same_zone = [one for one in members if one.zone == entry.zone]
        region = self._regions.get(entry.zone)
        if same_zone or region is None:
            return same_zone or members
        same_region = [
            one for one in members if self._regions.get(one.zone) == region
        ]
        return same_region or members


def share_connections(connections: int, members: int) -> int:
    """Return how many connections one process may hold to an endpoint."""
    return max(1, (connections - _RESERVED) // members)
