"""Grants of this process, derived from its readings of the fleet's table.

A grant is valid for a fixed time from the moment at which the store was asked.
The lease holder changes a group's primary only after it has marked the group
in the store and every grant based on an older reading was revoked or expired.
"""

from collections.abc import Mapping
from typing import Protocol, final

import anyio

from catkincrank.gateway.earlierrecords import EarlierRecords
from catkincrank.gateway.evidence import Grant
from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.rowstore import ORIGIN, Revision
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.logs import log_event

__all__ = ('GRANT_DURATION_S', 'Grants')

# Duration of a grant from the time of the reading that it is based on, in
# seconds. The store is read about once a second and answers within 0.3 s when
# slow; a replacement waits this long for a VM that it cannot reach.
GRANT_DURATION_S = 2.5


class _Fleet(Protocol):
    """The state of the fleet's table that grants depend on."""

    copy: TableCopy
    earlier: EarlierRecords
    records: Mapping[str, tuple[Revision, GroupRecord]]

    @property
    def is_registered(self) -> bool:
        """Whether the table holds the current row of this process."""

    def is_confirmed(self, service: str) -> bool:
        """Return whether a lease holder confirmed a group's row."""


@final
class Grants:
    """Derives the grants and hands them to the groups.

    Args:
        fleet: State of the fleet's table.
        groups: Receives the grants.
    """

    __slots__ = ('_fleet', '_granted_by', '_groups', '_minimum_revisions')

    def __init__(self, fleet: _Fleet, groups: Groups) -> None:
        self._fleet = fleet
        self._groups = groups
        # Reading that the current grant of each group is based on.
        self._granted_by: dict[str, Revision] = {}
        # Oldest valid revision by service; the empty name stands for all.
        self._minimum_revisions: dict[str, Revision] = {}

    @property
    def takeover_revision(self) -> Revision:
        """Revision of the newest lease takeover known to this process."""
        return self._minimum_revisions.get('', ORIGIN)

    def revoke(self, service: str, revision: Revision) -> None:
        """Revoke grants based on readings older than ``revision``.

        An empty ``service`` stands for all services.
        """
        self._minimum_revisions[service] = max(
            self._minimum_revisions.get(service, ORIGIN), revision
        )
        self.refresh()

    @property
    def awaits_reading(self) -> bool:
        """Whether a revoked grant needs a newer reading."""
        newest = max(self._minimum_revisions.values(), default=ORIGIN)
        return self._fleet.copy.revision < newest

    def begin_era(self) -> None:
        """Keep the grants from before the store was restored."""
        self._fleet.earlier.granted_by.update(self._granted_by)
        self._granted_by.clear()

    def refresh(self) -> None:
        """Derive the grants again from the rows."""
        has_changed = False
        now = anyio.current_time()
        services = {*self._fleet.records, *self._fleet.earlier.granted_by}
        for service in services:
            grant = self._make_grant(service)
            evidence = self._groups.evidence(service)
            evidence.proof.is_allowed = self._may_prove(service)
            if evidence.apply_grant(grant, now):
                has_changed = True
                log_event(
                    'primary_granted',
                    service=service,
                    endpoint=grant.endpoint_id,
                    term=grant.term,
                    version=str(self._fleet.copy.revision),
                )
        if has_changed:
            self._groups.notify_waiters()

    def _may_grant(self, service: str) -> bool:
        """Return whether the newest reading permits a grant."""
        fleet = self._fleet
        if not (fleet.is_registered and fleet.is_confirmed(service)):
            return False
        is_valid = fleet.copy.revision >= self._find_minimum(service)
        return is_valid and not fleet.records[service][1].is_replacing

    def _may_prove(self, service: str) -> bool:
        """Return whether proofs may take the place of an expired grant."""
        return self._may_grant(service) or self._keeps_grant(service)

    def _keeps_grant(self, service: str) -> bool:
        """Return whether a grant from before a restoration is still valid.

        A lease holder of the new era waits for such grants to expire before it
        replaces a primary; one of the earlier era may still revoke them.
        """
        if self._fleet.is_confirmed(service):
            return False
        granted_by = self._fleet.earlier.granted_by.get(service, ORIGIN)
        return ORIGIN < granted_by and granted_by >= self._find_minimum(service)

    def _find_minimum(self, service: str) -> Revision:
        return max(
            self._minimum_revisions.get(service, ORIGIN),
            self._minimum_revisions.get('', ORIGIN),
        )

    def _make_grant(self, service: str) -> Grant | None:
        if self._keeps_grant(service):
            return self._groups.evidence(service).grant
        if not self._may_grant(service):
            self._granted_by.pop(service, None)
            return self._end_grant(service)
        copy = self._fleet.copy
        self._granted_by[service] = copy.revision
        record = self._fleet.records[service][1]
        return Grant(
            record.primary,
            record.term,
            copy.read_at + GRANT_DURATION_S,
            record.list_bases(),
            record.born_ms,
        )

    def _end_grant(self, service: str) -> Grant | None:
        """Return the last grant as expired, which keeps its bases."""
        before = self._groups.evidence(service).grant
        if before is None:
            return None
        return Grant(
            before.endpoint_id,
            before.term,
            min(before.until, anyio.current_time()),
            before.bases,
            before.born_ms,
        )
