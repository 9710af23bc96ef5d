"""Live nodes as one relay sees them; selects readers, peers and targets."""

import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from catkincrank.relaytree import find_children, find_entry_points, rank_names

__all__ = ('RelayPeer', 'Roster')

_READERS_PER_ZONE = 2
_OTHER_ZONE_SHARE = 0.2


@final
@dataclass(frozen=True, slots=True)
class RelayPeer:
    """A node that is believed to be alive.

    Attributes:
        name: Name of its keeper.
        zone: Its availability zone.
    """

    name: str
    zone: str


@final
class Roster:
    """Selects readers, push targets and peers for anti-entropy.

    Args:
        node: The local node.
        source: Source of random choices.

    Attributes:
        readers: Names of the zone's readers of the store.
    """

    __slots__ = (
        '_neighbours',
        '_node',
        '_other_zones',
        '_random',
        '_zones',
        'readers',
    )

    def __init__(self, node: RelayPeer, source: random.Random) -> None:
        self._node = node
        self._random = source
        self._zones: dict[str, tuple[str, ...]] = {}
        self._other_zones: tuple[str, ...] = ()
        self._neighbours: tuple[str, ...] = ()
        self.readers: tuple[str, ...] = ()
        self.replace(())

    @property
    def is_reader(self) -> bool:
        """Whether the node itself reads the store for its zone."""
        return self._node.name in self.readers

    def replace(self, peers: Iterable[RelayPeer]) -> None:
        """Replace the live nodes; the local node always remains one."""
        zones: dict[str, list[str]] = {self._node.zone: [self._node.name]}
        for peer in peers:
            if peer != self._node:
                zones.setdefault(peer.zone, []).append(peer.name)
        self._zones = {zone: tuple(names) for zone, names in zones.items()}
        own_zone = self._zones[self._node.zone]
        self._other_zones = tuple(
            zone for zone in self._zones if zone != self._node.zone
        )
        self._neighbours = self._list_neighbours(own_zone)
        ranked = rank_names('readers', own_zone)
        self.readers = ranked[:_READERS_PER_ZONE]

    def choose_partner(self) -> str:
        """Return a peer to exchange digests with; there must be one."""
        if self._other_zones and self._random.random() < _OTHER_ZONE_SHARE:
            zone = self._random.choice(self._other_zones)
            return self._random.choice(self._zones[zone])
        return self._random.choice(self._neighbours)

    def choose_neighbour(self) -> str:
        """Return a random peer, from this zone if it has any; else empty."""
        if not self._neighbours:
            return ''
        return self._random.choice(self._neighbours)

    @property
    def has_peers(self) -> bool:
        """Whether any other node is believed to be alive."""
        return bool(self._neighbours)

    def list_sources(self, hint: str) -> tuple[str, ...]:
        """Return peers to request from: ``hint``, readers, a neighbour."""
        sources = [hint, *self.readers, self.choose_neighbour()]
        excluded = {'', self._node.name}
        return tuple(
            name for name in dict.fromkeys(sources) if name not in excluded
        )

    def contains(self, name: str) -> bool:
        """Return whether ``name`` is a live node."""
        return any(name in names for names in self._zones.values())

    def first_push_targets(self, change_id: str) -> tuple[str, ...]:
        """Return this zone's nodes to push a new change to, as its origin."""
        ranked = self._rank_zone(change_id)
        name = self._node.name
        targets = (
            *find_entry_points(ranked, name),
            *find_children(ranked, name),
        )
        return tuple(dict.fromkeys(targets))

    def next_push_targets(self, change_id: str) -> tuple[str, ...]:
        """Return this zone's nodes to forward a push to."""
        return find_children(self._rank_zone(change_id), self._node.name)

    def first_zone_targets(self, change_id: str) -> tuple[str, ...]:
        """Return one node of each zone to push to, as a change's origin."""
        ranked = rank_names(change_id, self._zones)
        zone = self._node.zone
        targets = (
            *find_entry_points(ranked, zone),
            *find_children(ranked, zone),
        )
        return self._choose_nodes(dict.fromkeys(targets))

    def next_zone_targets(self, change_id: str) -> tuple[str, ...]:
        """Return one node of each zone to forward a push to."""
        ranked = rank_names(change_id, self._zones)
        return self._choose_nodes(find_children(ranked, self._node.zone))

    def _choose_nodes(self, zones: Iterable[str]) -> tuple[str, ...]:
        return tuple(self._random.choice(self._zones[zone]) for zone in zones)

    def _rank_zone(self, change_id: str) -> tuple[str, ...]:
        return rank_names(change_id, self._zones[self._node.zone])

    def _list_neighbours(self, own_zone: tuple[str, ...]) -> tuple[str, ...]:
        names = own_zone
        if len(own_zone) == 1:
            names = tuple(itertools.chain(*self._zones.values()))
        return tuple(name for name in names if name != self._node.name)
