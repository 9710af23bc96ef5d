"""What a process knows of every group, and waiting for it to change."""

from typing import final

import anyio

from catkincrank.gateway.catalog import Catalog
from catkincrank.gateway.evidence import Grant, GroupEvidence
from catkincrank.gateway.roster import EndpointEntry, Roster

__all__ = ('Groups',)


@final
class Groups:
    """Catalog, endpoints and evidence of one process.

    Attributes:
        catalog: The configuration in force; ``None`` until it is known.
        roster: Registered endpoints.
    """

    __slots__ = ('_changed', '_evidence', '_leaving_since', 'catalog', 'roster')

    def __init__(self) -> None:
        self.catalog: Catalog | None = None
        self.roster = Roster()
        self._evidence: dict[str, GroupEvidence] = {}
        self._changed = anyio.Event()
        self._leaving_since: dict[str, float] = {}

    def evidence(self, service: str) -> GroupEvidence:
        """Return the evidence about a group."""
        found = self._evidence.get(service)
        if found is None:
            found = GroupEvidence()
            self._evidence[service] = found
        return found

    def accept(self, catalog: Catalog) -> bool:
        """Bring a configuration into force, unless a newer one is."""
        current = self.catalog
        if current is not None and current.version >= catalog.version:
            return False
        self.catalog = catalog
        self.notify_waiters()
        return True

    def find_primary(
        self,
        service: str,
        now: float,
    ) -> tuple[Grant, EndpointEntry] | None:
        """Return the primary while a grant for it holds."""
        grant = self.evidence(service).find_grant(now)
        if grant is None:
            return None
        entry = self.roster.find(grant.endpoint_id)
        if entry is None or self._has_left(entry, now):
            return None
        return grant, entry

    def note_leaving(self, entry: EndpointEntry, now: float) -> None:
        """Remember since when an endpoint is leaving."""
        if entry.is_draining:
            self._leaving_since.setdefault(entry.endpoint_id, now)
        else:
            self._leaving_since.pop(entry.endpoint_id, None)

    def notify_waiters(self) -> None:
        """Wake those that wait for a change."""
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def wait(self, until: float) -> None:
        """Wait for a change, until a time at most."""
        changed = self._changed
        with anyio.CancelScope(deadline=until):
            await changed.wait()

    async def wait_for_grant(
        self, service: str, term: int, until: float
    ) -> bool:
        """Return whether a grant for a term holds, or soon does again.

        A grant lapses with a slow reading of the store, or when the duty
        changes hands; the next reading tells whether the term goes on.
        """
        while True:
            now = anyio.current_time()
            evidence = self.evidence(service)
            if evidence.holds(term, now):
                return True
            is_over = evidence.grant is not None and evidence.grant.term > term
            if is_over or now >= until:
                return False
            await self.wait(min(until, now + _LOOK_S))

    def _has_left(self, entry: EndpointEntry, now: float) -> bool:
        since = self._leaving_since.get(entry.endpoint_id)
        return since is not None and now >= since + _LEAVING_USE_S


# A leaving primary is used until its successor leads, but no longer than this:
# the users allow 7 s from the store's word, which took up to a second to come.
_LEAVING_USE_S = 5.0
# How often whoever waits for a grant looks again.
_LOOK_S = 0.05
