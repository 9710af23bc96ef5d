"""Decides, in the lease holder, which VMs own the shards."""

from collections import Counter
from collections.abc import Mapping
from typing import Final, final

import msgspec

from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.organisations.shardrecords import (
    GROUPS,
    SHARDS,
    ShardOwner,
    ShardRecord,
)
from catkincrank.gateway.organisations.shardstate import OWNERSHIP_S
from catkincrank.relaytree import rank_names

__all__ = ('ShardAssigner',)

_DRIFT = 1.02
# An owner that has not read of its suspension stops within this time.
REPLACEMENT_S: Final = OWNERSHIP_S * _DRIFT
# A process that restarts is back within this time, and keeps its shards.
ABSENCE_S: Final = 8.0


@final
class ShardAssigner:
    """Assigns shards to members, and replaces owners that have left.

    Every time is that of a reading, so that a write which the store did not
    answer counts only once it was read.
    """

    __slots__ = ('_absent_since', '_suspended_since')

    def __init__(self) -> None:
        self._absent_since: dict[ShardOwner, float] = {}
        self._suspended_since: dict[tuple[int, int], float] = {}

    def assign_all(
        self, members: Mapping[str, MemberRecord], era: int
    ) -> list[ShardRecord]:
        """Return records that divide all shards among the members."""
        loads: Counter[ShardOwner] = Counter()
        records = []
        for group in range(GROUPS):
            owners: list[ShardOwner] = []
            for _ in range(SHARDS):
                owner = _choose_owner(group, owners, members, loads)
                owners.append(owner)
                loads[owner] += 1
            records.append(ShardRecord(group, tuple(owners), era=era))
        return records

    def replace_absent(
        self,
        records: Mapping[int, ShardRecord],
        members: Mapping[str, MemberRecord],
        now: float,
    ) -> list[ShardRecord]:
        """Return the records that have to change.

        Args:
            records: Record of each group, as read.
            members: Members of the fleet.
            now: Current time in seconds.
        """
        present = {ShardOwner.of(member) for member in members.values()}
        loads = Counter(
            owner for record in records.values() for owner in record.owners
        )
        self._track(records, present, now)
        changed = []
        for record in records.values():
            found = self._replace_in(record, members, loads, now)
            if found != record:
                changed.append(found)
        return changed

    def _track(
        self,
        records: Mapping[int, ShardRecord],
        present: set[ShardOwner],
        now: float,
    ) -> None:
        """Record since when owners are absent and shards are suspended."""
        absent = {
            owner for record in records.values() for owner in record.owners
        } - present
        self._absent_since = {
            owner: self._absent_since.get(owner, now) for owner in absent
        }
        self._suspended_since = {
            (group, number): self._suspended_since.get((group, number), now)
            for group, record in records.items()
            for number in record.suspended
        }

    def _replace_in(
        self,
        record: ShardRecord,
        members: Mapping[str, MemberRecord],
        loads: Counter[ShardOwner],
        now: float,
    ) -> ShardRecord:
        owners = list(record.owners)
        suspended = []
        for number, owner in enumerate(record.owners):
            if owner not in self._absent_since:
                # Present, perhaps again: it keeps the shard.
                continue
            if self._is_replaceable(record.group, number, now):
                found = _choose_owner(record.group, owners, members, loads)
                owners[number] = found
                loads[found] += 1
            elif number in record.suspended or self._is_gone(owner, now):
                suspended.append(number)
        return msgspec.structs.replace(
            record, owners=tuple(owners), suspended=tuple(suspended)
        )

    def _is_gone(self, owner: ShardOwner, now: float) -> bool:
        return now >= self._absent_since[owner] + ABSENCE_S

    def _is_replaceable(self, group: int, number: int, now: float) -> bool:
        """Return whether the owner of a shard can no longer use it."""
        since = self._suspended_since.get((group, number))
        return since is not None and now >= since + REPLACEMENT_S


def _choose_owner(
    group: int,
    owners: list[ShardOwner],
    members: Mapping[str, MemberRecord],
    loads: Counter[ShardOwner],
) -> ShardOwner:
    """Return the member that should own a shard beside other owners.

    Prefers one without a shard of the group, then the one with the fewest
    shards, then an availability zone with few owners.
    """
    names = [owner.name for owner in owners]
    zones = Counter(members[name].zone for name in names if name in members)
    ranked = rank_names(str(group), members)
    name = min(
        ranked,
        key=lambda one: (
            names.count(one),
            loads[ShardOwner.of(members[one])],
            zones[members[one].zone],
        ),
    )
    return ShardOwner.of(members[name])
