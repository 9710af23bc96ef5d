"""State of the fleet's own table, and the grants derived from it.

A grant is valid for a fixed time from the moment at which the store was asked.
The lease holder changes a group's primary only after it has marked the group
in the store and every grant based on an older reading was revoked or expired.
"""

from typing import final

import anyio

from catkincrank.gateway.evidence import Grant
from catkincrank.gateway.fleetrecords import (
    HEARTBEAT_KEY,
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

__all__ = ('GRANT_DURATION_S', 'FleetState')

# Duration of a grant from the time of the reading that it is based on, in
# seconds. The store is read about once a second and answers within 0.3 s when
# slow; a replacement waits this long for a VM that it cannot reach.
GRANT_DURATION_S = 2.5


@final
class FleetState:
    """State of the fleet's table and grants of this process.

    Args:
        copy: Copy of the fleet's table.
        groups: Receives the grants.
        own_member: Row of this process.

    Attributes:
        copy: Copy of the fleet's table.
        groups: Local state of the groups.
        records: Rows of the groups with their versions.
        members: Rows of the members by name.
        holder: Row of the lease holder, with its version.
        holder_heartbeat_at: When the holder's last heartbeat was received.
        own_member: Row of this process.
        member_removed_at: When the last removal of a member's row was seen;
            initially the start of this process, which may have missed one.
    """

    __slots__ = (
        '_heartbeats',
        '_minimum_versions',
        'copy',
        'groups',
        'holder',
        'holder_heartbeat_at',
        'member_removed_at',
        'members',
        'own_member',
        'records',
    )

    def __init__(
        self,
        copy: TableCopy,
        groups: Groups,
        own_member: MemberRecord,
    ) -> None:
        self.copy = copy
        self.groups = groups
        self.own_member = own_member
        self.records: dict[str, tuple[int, GroupRecord]] = {}
        self.members: dict[str, MemberRecord] = {}
        self.holder: tuple[int, HolderRecord] | None = None
        self.holder_heartbeat_at: float = 0
        self.member_removed_at = anyio.current_time()
        self._heartbeats: dict[str, float] = {}
        # Oldest valid version by service; the empty name stands for all.
        self._minimum_versions: dict[str, int] = {}
        copy.listen(self.apply_changes)

    @property
    def is_registered(self) -> bool:
        """Whether the table holds the current row of this process."""
        return self.members.get(self.own_member.name) == self.own_member

    @property
    def takeover_version(self) -> int:
        """Version of the newest lease takeover known to this process."""
        return self._minimum_versions.get('', 0)

    def list_others(self) -> list[MemberRecord]:
        """Return the other members."""
        return [
            member
            for member in self.members.values()
            if member.name != self.own_member.name
        ]

    def record_heartbeat(self, name: str) -> None:
        """Record a heartbeat of a member."""
        self._heartbeats[name] = anyio.current_time()

    def list_silent(self, since: float) -> list[MemberRecord]:
        """Return the other members without a heartbeat since a time."""
        return [
            member
            for member in self.list_others()
            if self._heartbeats.get(member.name, 0) < since
        ]

    def apply_changes(self, changed: tuple[RowChange, ...]) -> None:
        """Apply changed rows of the table."""
        for row in changed:
            self._apply_row(row)
        self.refresh()

    def revoke(self, service: str, version: int) -> None:
        """Revoke grants based on readings older than ``version``.

        An empty ``service`` stands for all services.
        """
        self._minimum_versions[service] = max(
            self._minimum_versions.get(service, 0), version
        )
        self.refresh()

    def refresh(self) -> None:
        """Derive the grants again from the rows."""
        has_changed = False
        now = anyio.current_time()
        for service in self.records:
            grant = self._make_grant(service)
            evidence = self.groups.evidence(service)
            evidence.proof.is_allowed = self._may_grant(service)
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

    def _may_grant(self, service: str) -> bool:
        """Return whether the newest reading permits a grant."""
        minimum_version = max(
            self._minimum_versions.get(service, 0),
            self._minimum_versions.get('', 0),
        )
        is_valid = self.is_registered and self.copy.version >= minimum_version
        return is_valid and not self.records[service][1].is_replacing

    def _make_grant(self, service: str) -> Grant | None:
        if not self._may_grant(service):
            return self._end_grant(service)
        record = self.records[service][1]
        return Grant(
            record.primary,
            record.term,
            self.copy.read_at + GRANT_DURATION_S,
            record.list_bases(),
        )

    def _end_grant(self, service: str) -> Grant | None:
        """Return the last grant as expired, which keeps its bases."""
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

    def _apply_row(self, row: RowChange) -> None:
        if row.key == HEARTBEAT_KEY:
            self.holder_heartbeat_at = anyio.current_time()
        elif row.key == HOLDER_KEY:
            self._apply_holder(row)
        elif is_member_key(row.key):
            self._apply_member(row)
        elif is_group_key(row.key):
            self._apply_group(row)

    def _apply_holder(self, row: RowChange) -> None:
        self.holder_heartbeat_at = anyio.current_time()
        before = self.holder
        self.holder = row.body and (row.version, decode_holder(row.body))
        if before is None or before[1] != (self.holder and self.holder[1]):
            log_event(
                'holder_changed',
                holder=self.holder and self.holder[1].name,
                version=row.version,
            )

    def _apply_member(self, row: RowChange) -> None:
        if row.body is None:
            name = row.key.removeprefix(member_key(''))
            self.members.pop(name, None)
            self.member_removed_at = anyio.current_time()
            return
        member = decode_member(row.body)
        self.members[member.name] = member
        self.record_heartbeat(member.name)

    def _apply_group(self, row: RowChange) -> None:
        if row.body is None:
            return
        record = decode_group(row.body)
        if row.key == group_key(record.service):
            self.records[record.service] = (row.version, record)
