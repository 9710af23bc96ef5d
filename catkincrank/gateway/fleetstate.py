"""State of the fleet's own table."""

from typing import final

import anyio
import msgspec

from catkincrank.gateway.earlierrecords import EarlierRecords
from catkincrank.gateway.fleetrecords import (
    HEARTBEAT_KEY,
    HOLDER_KEY,
    GroupRecord,
    HolderRecord,
    MemberRecord,
    decode_group,
    decode_heartbeat,
    decode_holder,
    decode_member,
    group_key,
    is_group_key,
    is_member_key,
    member_key,
)
from catkincrank.gateway.grants import Grants
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.heartbeats import Heartbeats
from catkincrank.gateway.prunedmembers import PrunedMembers
from catkincrank.gateway.readingtree import ReadingTree
from catkincrank.gateway.rowerrors import log_unreadable
from catkincrank.gateway.rowstore import ORIGIN, Revision, RowChange
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.logs import log_event

__all__ = ('FleetState',)


# Name of a lease holder whose row cannot be decoded; no VM has it.
_UNKNOWN = '?'


@final
class FleetState:  # noqa: WPS214
    """State of the fleet's table.

    Args:
        copy: Copy of the fleet's table.
        groups: Receives the grants.
        own_member: Row of this process.

    Attributes:
        copy: Copy of the fleet's table.
        grants: Grants of this process.
        records: Rows of the groups with their revisions.
        earlier: Records from before the store was restored.
        heartbeats: Heartbeats of the members.
        era_began_at: When the last restoration of the store was seen.
        members: Rows of the members by name.
        holder: Row of the lease holder, with its revision.
        holder_heartbeat_at: When the holder's last heartbeat was received.
        own_member: Row of this process.
        member_removed_at: When the last removal of a member's row was seen;
            initially the start of this process, which may have missed one.
        pruned: Removals of members that did not answer.
    """

    __slots__ = (
        '_tree',
        '_era',
        'copy',
        'earlier',
        'era_began_at',
        'grants',
        'heartbeats',
        'holder',
        'holder_heartbeat_at',
        'member_removed_at',
        'members',
        'own_member',
        'pruned',
        'records',
    )

    def __init__(
        self,
        copy: TableCopy,
        groups: Groups,
        own_member: MemberRecord,
    ) -> None:
        self.copy = copy
        self.own_member = own_member
        self.records: dict[str, tuple[Revision, GroupRecord]] = {}
        self.earlier = EarlierRecords()
        self.era_began_at: float = 0
        self.members: dict[str, MemberRecord] = {}
        self.holder: tuple[Revision, HolderRecord] | None = None
        self.holder_heartbeat_at: float = 0
        self.member_removed_at = anyio.current_time()
        self.pruned = PrunedMembers()
        self.heartbeats = Heartbeats()
        self._era = 0
        self._tree: ReadingTree | None = None
        self.grants = Grants(self, groups)
        copy.listen(self.apply_changes)

    @property
    def is_registered(self) -> bool:
        """Whether the lease holder reaches this process by its row.

        The row of an earlier process at the same address serves as well.
        """
        row = self.members.get(self.own_member.name)
        return row is not None and row.leads_to(self.own_member)

    @property
    def tree(self) -> ReadingTree:
        """The reading tree of the current members and holder."""
        if self._tree is None:
            name = '' if self.holder is None else self.holder[1].name
            self._tree = ReadingTree(name, dict(self.members))
        return self._tree

    @property
    def era(self) -> int:
        """Era of the newest reading of the table."""
        return self.copy.revision.era

    def find_group(self, service: str) -> tuple[Revision, GroupRecord] | None:
        """Return the newest record of a group and the revision of its row.

        After a restoration the record may be newer than the row, or have none.
        """
        revision, record = self.records.get(service, (ORIGIN, None))
        newest = self.earlier.find_newest(service, record)
        return None if newest is None else (revision, newest)

    def list_earlier(self, era: int) -> list[GroupRecord]:
        """Return what is known of the groups from before an era."""
        known = list(self.earlier.list_records())
        if self.era < era:
            known.extend(record for _, record in self.records.values())
        return known

    def is_confirmed(self, service: str) -> bool:
        """Return whether a lease holder confirmed a group's row in this era."""
        found = self.records.get(service)
        return found is not None and found[1].era == self.era

    def list_others(self) -> list[MemberRecord]:
        """Return the other members."""
        return [
            member
            for member in self.members.values()
            if member.name != self.own_member.name
        ]

    def list_silent(self, since: float) -> list[MemberRecord]:
        """Return the other members without a heartbeat since a time."""
        heard = self.heartbeats.list_since(since)
        return [
            member for member in self.list_others() if member.name not in heard
        ]

    def apply_changes(self, changed: tuple[RowChange, ...]) -> None:
        """Apply changed rows of the table."""
        if self.era > self._era:
            self._begin_era()
        for row in changed:
            try:
                self._apply_row(row)
            except msgspec.MsgspecError as error:
                log_unreadable(row, error)
                self._apply_unreadable(row)
        self.grants.refresh()

    def _begin_era(self) -> None:
        """Set aside what was known before the store was restored."""
        self._era = self.era
        self.era_began_at = anyio.current_time()
        for _, record in self.records.values():
            self.earlier.add(record)
        self.records.clear()
        self.grants.begin_era()

    def _apply_row(self, row: RowChange) -> None:
        if row.key == HEARTBEAT_KEY:
            self._apply_heartbeat(row)
        elif row.key == HOLDER_KEY:
            self._apply_holder(row)
        elif is_member_key(row.key):
            self._apply_member(row)
        elif is_group_key(row.key):
            self._apply_group(row)

    def _apply_unreadable(self, row: RowChange) -> None:
        """Use what is known in place of a row that cannot be decoded.

        Members keep what they know of another member, which still holds its
        grants; it registers again if it cannot read its own row either.
        """
        if row.key == HOLDER_KEY:
            # Waited for like any process that does not answer.
            self._set_holder(row.revision, HolderRecord(_UNKNOWN, ''))
        elif row.key == member_key(self.own_member.name):
            self._remove_member(row.key)
        elif is_group_key(row.key):
            self._keep_group(row)

    def _keep_group(self, row: RowChange) -> None:
        """Let the lease holder write a group's row that cannot be decoded.

        Only it writes these rows. Unless it held the lease before, the row may
        have replaced a record that it has not read.
        """
        service = row.key.removeprefix(group_key(''))
        known = self.records.get(service)
        if known is None or self.holder is None:
            return
        taken_at, holder = self.holder
        is_own = holder.incarnation == self.own_member.incarnation
        if is_own and taken_at < row.revision:
            self.records[service] = (row.revision, known[1])

    def _apply_heartbeat(self, row: RowChange) -> None:
        self.holder_heartbeat_at = anyio.current_time()
        self.pruned.apply(decode_heartbeat(row.body or b'{}'))

    def _apply_holder(self, row: RowChange) -> None:
        record = None if row.body is None else decode_holder(row.body)
        self._set_holder(row.revision, record)

    def _set_holder(
        self, revision: Revision, record: HolderRecord | None
    ) -> None:
        self._tree = None
        self.holder_heartbeat_at = anyio.current_time()
        before = self.holder
        self.holder = record and (revision, record)
        if before is None or before[1] != (self.holder and self.holder[1]):
            log_event(
                'holder_changed',
                holder=self.holder and self.holder[1].name,
                version=str(revision),
            )

    def _apply_member(self, row: RowChange) -> None:
        if row.body is None:
            self._remove_member(row.key)
            return
        member = decode_member(row.body)
        if row.key != member_key(member.name):
            raise msgspec.ValidationError('row of another member')
        self._tree = None
        self.members[member.name] = member
        self.heartbeats.record_relayed(member.name)

    def _remove_member(self, key: str) -> None:
        self._tree = None
        self.members.pop(key.removeprefix(member_key('')), None)
        self.member_removed_at = anyio.current_time()

    def _apply_group(self, row: RowChange) -> None:
        if row.body is None:
            return
        record = decode_group(row.body)
        if row.key != group_key(record.service):
            raise msgspec.ValidationError('row of another group')
        self.records[record.service] = (row.revision, record)
        if record.era >= self.era:
            self.earlier.forget(record.service)
