"""Tells which peers a process gets its readings of the store's tables from.

The lease holder reads the store. In a large fleet it cannot answer every other
process, so a few members of each availability zone poll it, and the rest poll
those, or a few substitutes while they do not answer. Each process works the
tree out from the table of members; members whose tables differ for a moment
poll peers that have the readings all the same.
"""

from collections.abc import Collection, Mapping
from typing import final

from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.relaytree import rank_names

__all__ = ('ReadingTree',)

# Up to this number of members, all poll the lease holder.
_MAX_FLAT_MEMBERS = 12
# Members of each availability zone that poll the lease holder. With one, its
# loss would send the whole zone to the store.
_RELAYS_PER_ZONE = 2
# Members of each zone that take the place of relays that do not answer. If
# every member polled the holder then, it could answer nobody.
_SUBSTITUTES_PER_ZONE = 2


@final
class ReadingTree:
    """Sources and dependants of the members, for one table of members.

    Args:
        holder: Name of the lease holder; empty if there is none.
        members: The members by name.
    """

    __slots__ = ('_holder', '_members', '_ranked')

    def __init__(
        self, holder: str, members: Mapping[str, MemberRecord]
    ) -> None:
        self._holder = holder
        self._members = members
        # Relays of each zone, followed by their substitutes.
        self._ranked: dict[str, tuple[str, ...]] = {}
        if len(members) <= _MAX_FLAT_MEMBERS:
            return
        zones = {member.zone for member in members.values()}
        for zone in zones:
            ranked = rank_names(zone, self._list_zone(zone))
            count = _RELAYS_PER_ZONE + _SUBSTITUTES_PER_ZONE
            self._ranked[zone] = ranked[:count]

    def is_relay(self, name: str) -> bool:
        """Return whether other members poll a member in their zone."""
        member = self._members.get(name)
        return member is not None and name in self._list_relays(member.zone)

    def count_dependants(self, name: str) -> int:
        """Return how many members poll the same relay as a member."""
        member = self._members.get(name)
        relays = self._list_relays(member.zone) if member else ()
        if not relays:
            return len(self._members)
        return len(self._list_zone(member.zone)) // len(relays)

    def list_sources(self, name: str) -> tuple[MemberRecord, ...]:
        """Return the members that a member polls, the preferred one first."""
        member = self._members.get(name)
        ranked = self._ranked.get(member.zone, ()) if member else ()
        relays = ranked[:_RELAYS_PER_ZONE]
        if name in relays:
            names = (self._holder,)
        elif name in ranked or not ranked:
            names = (*rank_names(name, relays), self._holder)
        else:
            substitutes = ranked[_RELAYS_PER_ZONE:]
            names = (
                *rank_names(name, relays),
                *(rank_names(name, substitutes) or (self._holder,)),
            )
        return tuple(
            self._members[one]
            for one in names
            if one in self._members and one != name
        )

    def group_by_relay(
        self, names: Collection[str]
    ) -> dict[str, tuple[str, ...]]:
        """Return members by the relay that can pass a message on to them.

        Relays, and members without one, are not among the values.
        """
        groups: dict[str, tuple[str, ...]] = {}
        for zone in self._ranked:
            relays = self._list_relays(zone)
            wanted = [
                name
                for name in self._list_zone(zone)
                if name in names and name not in relays
            ]
            usable = [relay for relay in relays if relay in names]
            for index, relay in enumerate(usable):
                groups[relay] = tuple(wanted[index :: len(usable)])
        return groups

    def _list_relays(self, zone: str) -> tuple[str, ...]:
        return self._ranked.get(zone, ())[:_RELAYS_PER_ZONE]

    def _list_zone(self, zone: str) -> tuple[str, ...]:
        """Return the members of a zone other than the lease holder."""
        return tuple(
            sorted(
                name
                for name, member in self._members.items()
                if member.zone == zone and name != self._holder
            )
        )
