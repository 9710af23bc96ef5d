"""Which keepers watch a group and may replace its primary.

Groups are hashed into buckets. Rendezvous hashing ranks the keepers for each
bucket; the first three from different zones are on duty. Because there are few
buckets, a keeper shares duties with few others, and only those are probed.

A keeper that stops answering keeps its duties for a hold-down time, since most
keepers return and the other two continue meanwhile. The hold-down is short if
too few live keepers are left. A keeper that loses a duty continues with it for
an overlap, until the others are certain to have taken it over.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import final

import xxhash

from catkincrank.membership import PeerAddress, PeerState, PeerStatus

__all__ = ('Duties', 'Duty', 'choose_duty', 'find_bucket', 'rank_keepers')

WATCHER_COUNT = 3
STANDBY_COUNT = 1
_BUCKET_COUNT = 1024
_HOLD_DOWN_S = 180.0
_SHORT_HOLD_DOWN_S = 3.0
_MIN_LIVE_KEEPERS = 2
_OVERLAP_S = 10.0


@final
@dataclass(frozen=True, slots=True)
class Duty:
    """Keepers on duty for a bucket.

    Attributes:
        keepers: Names in order of rank; silent ones come last.
        standbys: Names of the keepers next in rank.
    """

    keepers: tuple[str, ...]
    standbys: tuple[str, ...] = ()


def find_bucket(group: str) -> int:
    """Return the bucket of ``group``."""
    return xxhash.xxh64_intdigest(group.encode()) % _BUCKET_COUNT


def rank_keepers(bucket: int, names: Iterable[str]) -> list[str]:
    """Return ``names`` ranked for the bucket by rendezvous hashing."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(name.encode(), bucket),
    )


def choose_duty(
    ranking: Sequence[str],
    statuses: Mapping[str, PeerStatus],
    now: float,
) -> Duty:
    """Return the keepers on duty.

    Args:
        ranking: Names of the keepers, in order of rank.
        statuses: State of each of them.
        now: The current time, in seconds.
    """
    chosen = _choose(ranking, statuses, now - _HOLD_DOWN_S)
    if _count_live(chosen[:WATCHER_COUNT], statuses) < _MIN_LIVE_KEEPERS:
        chosen = _choose(ranking, statuses, now - _SHORT_HOLD_DOWN_S)
    keepers = sorted(
        chosen[:WATCHER_COUNT],
        key=lambda name: statuses[name].state is PeerState.SILENT,
    )
    return Duty(tuple(keepers), tuple(chosen[WATCHER_COUNT:]))


def _choose(
    ranking: Sequence[str],
    statuses: Mapping[str, PeerStatus],
    silent_after: float,
) -> list[str]:
    """Return eligible keepers: of different zones first, then of any."""
    eligible = [
        ranked
        for ranked in ranking
        if _is_eligible(statuses[ranked], silent_after)
    ]
    zones: set[str] = set()
    distinct: list[str] = []
    for name in eligible:
        zone = statuses[name].address.zone
        if zone not in zones:
            zones.add(zone)
            distinct.append(name)
        if len(distinct) == WATCHER_COUNT + STANDBY_COUNT:
            return distinct
    others = [ranked for ranked in eligible if ranked not in distinct]
    return [*distinct, *others][: WATCHER_COUNT + STANDBY_COUNT]


def _is_eligible(peer_status: PeerStatus, silent_after: float) -> bool:
    if peer_status.state is PeerState.SILENT:
        return peer_status.since > silent_after
    return peer_status.state is not PeerState.LEAVING


def _count_live(
    names: Iterable[str],
    statuses: Mapping[str, PeerStatus],
) -> int:
    return sum(statuses[name].state is not PeerState.SILENT for name in names)


@final
class Duties:
    """Duties of one keeper over time.

    Args:
        own_address: Address of this keeper.

    Attributes:
        held: Buckets that it is on duty for, each with its rank.
        chosen: Keepers on duty for each bucket given to ``update``.
        moves: How many duties it has taken up or dropped.
    """

    def __init__(self, own_address: PeerAddress) -> None:
        self.held: dict[int, int] = {}
        self.chosen: dict[int, Duty] = {}
        self.moves = 0
        self._own_address = own_address
        self._rankings: dict[int, list[str]] = {}
        self._names: frozenset[str] = frozenset()
        self._lost_at: dict[int, float] = {}

    def update(
        self,
        buckets: Iterable[int],
        statuses: Mapping[str, PeerStatus],
        now: float,
        *,
        is_leaving: bool = False,
    ) -> None:
        """Recompute the duties for ``buckets``."""
        wanted = set(buckets)
        self._drop_unwanted(wanted)
        state = PeerState.LEAVING if is_leaving else PeerState.ALIVE
        own_status = PeerStatus(
            self._own_address, state, 'it is this keeper', now
        )
        known = {**statuses, self._own_address.name: own_status}
        if known.keys() != self._names:
            self._names = frozenset(known)
            self._rankings.clear()
        for bucket in wanted:
            duty = choose_duty(self._rank(bucket), known, now)
            self.chosen[bucket] = duty
            self._update_held(bucket, duty, now)

    def list_partners(self) -> set[str]:
        """Return the keepers that share a duty with this one."""
        partners: set[str] = set()
        for duty in self.chosen.values():
            names = {*duty.keepers, *duty.standbys}
            if self._own_address.name in names:
                partners |= names
        partners.discard(self._own_address.name)
        return partners

    def _rank(self, bucket: int) -> list[str]:
        ranking = self._rankings.get(bucket)
        if ranking is None:
            ranking = rank_keepers(bucket, self._names)
            self._rankings[bucket] = ranking
        return ranking

    def _update_held(self, bucket: int, duty: Duty, now: float) -> None:
        name = self._own_address.name
        if not duty.keepers:
            return
        if name in duty.keepers:
            self.moves += bucket not in self.held
            self.held[bucket] = duty.keepers.index(name)
            self._lost_at.pop(bucket, None)
        elif self.held.get(bucket) is not None:
            lost_at = self._lost_at.setdefault(bucket, now)
            # During the overlap it ranks behind the keepers on duty.
            self.held[bucket] = WATCHER_COUNT
            if now >= lost_at + _OVERLAP_S:
                self._drop(bucket)

    def _drop_unwanted(self, wanted: set[int]) -> None:
        for bucket in set(self.chosen) - wanted:
            self.chosen.pop(bucket)
            self._rankings.pop(bucket, None)
        for bucket in set(self.held) - wanted:
            self._drop(bucket)

    def _drop(self, bucket: int) -> None:
        self.held.pop(bucket)
        self._lost_at.pop(bucket, None)
        self.moves += 1
