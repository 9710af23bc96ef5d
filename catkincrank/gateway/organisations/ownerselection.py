"""Chooses which owner of shards to ask for a token."""

import math
import random
from collections.abc import Mapping
from typing import final

from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.organisations.shardrecords import (
    ShardOwner,
    ShardRecord,
)

__all__ = ('OwnerSelection',)

# An owner that did not answer is not asked for this many times as long as that
# took, so that operations spend little time on it.
_SILENCE_FACTOR = 5
_MIN_SILENCE_S = 0.1
# Organisations whose empty shards are remembered.
_MAX_EMPTY = 4096


@final
class OwnerSelection:
    """Orders the owners of a group's shards for one VM.

    Args:
        own: Row of this VM.
        regions: Regions by availability zone.
    """

    __slots__ = ('_empty_until', '_own', '_regions', '_silent_until')

    def __init__(self, own: MemberRecord, regions: Mapping[str, str]) -> None:
        self._own = own
        self._regions = regions
        self._silent_until: dict[str, float] = {}
        # By organisation and name of the owner.
        self._empty_until: dict[tuple[str, str], float] = {}

    def list_owners(
        self,
        organisation: str,
        record: ShardRecord,
        members: Mapping[str, MemberRecord],
        now: float,
    ) -> list[MemberRecord]:
        """Return the owners that may have a token, nearest first.

        Owners that are equally far are in random order, so that their tokens
        are used up evenly.
        """
        owners = [
            member
            for member in self._list_present(record, members)
            if now >= self._silent_until.get(member.name, now)
            and now >= self._empty_until.get((organisation, member.name), now)
        ]
        random.shuffle(owners)
        return sorted(owners, key=self._measure_distance)

    def find_next(
        self,
        organisation: str,
        record: ShardRecord,
        members: Mapping[str, MemberRecord],
    ) -> float:
        """Return when the first owner may be asked again, in seconds."""
        return min(
            (
                max(
                    self._silent_until.get(member.name, 0),
                    self._empty_until.get((organisation, member.name), 0),
                )
                for member in self._list_present(record, members)
            ),
            default=math.inf,
        )

    def record_silence(self, name: str, asked_at: float, now: float) -> None:
        """Record that an owner did not answer, or may not issue tokens."""
        silent_s = _SILENCE_FACTOR * (now - asked_at)
        self._silent_until[name] = now + max(_MIN_SILENCE_S, silent_s)

    def record_answer(self, name: str) -> None:
        """Record that an owner answered."""
        self._silent_until.pop(name, None)

    def record_empty(
        self, organisation: str, name: str, retry_at: float
    ) -> None:
        """Record when an owner may have tokens of an organisation again."""
        if len(self._empty_until) >= _MAX_EMPTY:
            self._empty_until.clear()
        self._empty_until[(organisation, name)] = retry_at

    def _list_present(
        self, record: ShardRecord, members: Mapping[str, MemberRecord]
    ) -> list[MemberRecord]:
        """Return the members that may use shards of the group."""
        found = {}
        for number, owner in enumerate(record.owners):
            member = members.get(owner.name)
            is_present = member is not None and ShardOwner.of(member) == owner
            if is_present and number not in record.suspended:
                found[owner.name] = member
        return list(found.values())

    def _measure_distance(self, member: MemberRecord) -> int:
        """Return the distance: 0 for this VM, up to 3 for another region."""
        own = self._own
        if member.name == own.name:
            return 0
        if member.zone == own.zone:
            return 1
        regions = self._regions
        region = regions.get(own.zone)
        is_near = region is not None and region == regions.get(member.zone)
        return 2 if is_near else 3
