"""What the fleet's own table says, and the grants that follow from it.

A grant holds for a fixed time from the moment before the store was asked. The
holder changes a group's primary only after it has marked the group in the
store and every grant that rests on an older reading was given up or has ended.
"""

from typing import final

import anyio

from catkincrank.gateway.evidence import Grant
from catkincrank.gateway.fleetrecords import (
    BEAT_KEY,
    HOLDER_KEY,
    GroupRecord,
    HolderRecord,
    MemberRecord,
    decode_group,
    decode_holder,
    decode_member,
    group_key,
    is_group_key,
    is_member_key,
    member_key,
)
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.rowstore import RowChange
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.logs import log_event

__all__ = ('GRANT_DURATION_S', 'Ledger')

# How long a reading of the store lets a process act on it, in seconds: the
# store is read about once a second, a slow one answers within 0.3 s, and a
# replacement waits this long for a VM that it cannot reach.
GRANT_DURATION_S = 2.5


@final
class Ledger:
    """Grants of this process.

    Args:
        copy: Copy of the fleet's table.
        groups: Where grants are put.
        me: Row of this process.

    Attributes:
        copy: Copy of the fleet's table.
        groups: What this process knows of the groups.
        records: Groups' rows with their versions.
        members: Members' rows.
        holder: The holder's row, with its version.
        holder_seen_at: When a sign of life of the holder came.
        me: Row of this process.
        member_lost_at: When a member's row was last seen to go; at first, when
            this process started, since it cannot know.
    """

    __slots__ = (
        '_floors',
        '_heard_at',
        'copy',
        'groups',
        'holder',
        'holder_seen_at',
        'me',
        'member_lost_at',
        'members',
        'records',
    )

    def __init__(
        self,
        copy: TableCopy,
        groups: Groups,
        me: MemberRecord,
    ) -> None:
        self.copy = copy
        self.groups = groups
        self.me = me
        self.records: dict[str, tuple[int, GroupRecord]] = {}
        self.members: dict[str, MemberRecord] = {}
        self.holder: tuple[int, HolderRecord] | None = None
        self.holder_seen_at: float = 0
        self.member_lost_at = anyio.current_time()
        self._heard_at: dict[str, float] = {}
        self._floors: dict[str, int] = {}
        copy.listen(self.take)

    @property
    def is_registered(self) -> bool:
        """Whether the table names this process as a member."""
        return self.members.get(self.me.name) == self.me

    @property
    def floor(self) -> int:
        """Version of the newest takeover that this process was told of."""
        return self._floors.get('', 0)

    def list_others(self) -> list[MemberRecord]:
        """Return the other members."""
        return [
            member
            for member in self.members.values()
            if member.name != self.me.name
        ]

    def hear(self, name: str) -> None:
        """Note a sign of life of a member."""
        self._heard_at[name] = anyio.current_time()

    def list_unheard(self, since: float) -> list[MemberRecord]:
        """Return the other members without a sign of life since a time."""
        return [
            member
            for member in self.list_others()
            if self._heard_at.get(member.name, 0) < since
        ]

    def take(self, changed: tuple[RowChange, ...]) -> None:
        """Take in a reading of the table."""
        for row in changed:
            self._take_row(row)
        self.refresh()

    def revoke(self, service: str, version: int) -> None:
        """Give up grants that rest on readings older than ``version``."""
        self._floors[service] = max(self._floors.get(service, 0), version)
        self.refresh()

    def refresh(self) -> None:
        """Work out the grants anew."""
        has_changed = False
        now = anyio.current_time()
        for service in self.records:
            grant = self._make_grant(service)
            evidence = self.groups.evidence(service)
            if evidence.apply_grant(grant, now):
                has_changed = True
                log_event(
                    'primary_granted',
                    service=service,
                    endpoint=grant.endpoint_id,
                    term=grant.term,
                    version=self.copy.version,
                )
        if has_changed:
            self.groups.notify_waiters()

    def _make_grant(self, service: str) -> Grant | None:
        record = self.records[service][1]
        floor = max(self._floors.get(service, 0), self._floors.get('', 0))
        is_valid = self.is_registered and self.copy.version >= floor
        if record.is_replacing or not is_valid:
            return self._hold_back(service)
        return Grant(
            record.primary,
            record.term,
            self.copy.read_at + GRANT_DURATION_S,
            record.list_bases(),
        )

    def _hold_back(self, service: str) -> Grant | None:
        """Return a grant that has ended, so that rolled back is remembered."""
        before = self.groups.evidence(service).grant
        if before is None:
            return None
        now = anyio.current_time()
        return Grant(
            before.endpoint_id,
            before.term,
            min(before.until, now),
            before.bases,
        )

    def _take_row(self, row: RowChange) -> None:
        if row.key == BEAT_KEY:
            self.holder_seen_at = anyio.current_time()
        elif row.key == HOLDER_KEY:
            self._take_holder(row)
        elif is_member_key(row.key):
            self._take_member(row)
        elif is_group_key(row.key):
            self._take_group(row)

    def _take_holder(self, row: RowChange) -> None:
        self.holder_seen_at = anyio.current_time()
        before = self.holder
        self.holder = row.body and (row.version, decode_holder(row.body))
        if before is None or before[1] != (self.holder and self.holder[1]):
            log_event(
                'holder_changed',
                holder=self.holder and self.holder[1].name,
                version=row.version,
            )

    def _take_member(self, row: RowChange) -> None:
        if row.body is None:
            name = row.key.removeprefix(member_key(''))
            self.members.pop(name, None)
            self.member_lost_at = anyio.current_time()
            return
        member = decode_member(row.body)
        self.members[member.name] = member
        self.hear(member.name)

    def _take_group(self, row: RowChange) -> None:
        if row.body is None:
            return
        record = decode_group(row.body)
        if row.key == group_key(record.service):
            self.records[record.service] = (row.version, record)
