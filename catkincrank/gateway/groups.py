"""Local state of all groups, with waiting for changes."""

from collections.abc import Callable
from typing import final

import anyio

from catkincrank.gateway.catalog import Catalog
from catkincrank.gateway.evidence import Grant, GroupEvidence
from catkincrank.gateway.roster import EndpointEntry, Roster

__all__ = ('Groups',)


@final
class Groups:  # noqa: WPS214
    """Configuration, endpoints and evidence about groups of one process.

    Attributes:
        catalog: The configuration in force; ``None`` before the first.
        roster: Registered endpoints.
    """

    __slots__ = (
        '_changed',
        '_evidence',
        '_leaving_since',
        '_listeners',
        '_proof_requested',
        '_proof_requests',
        'catalog',
        'roster',
    )

    def __init__(self) -> None:
        self.catalog: Catalog | None = None
        self.roster = Roster()
        self._evidence: dict[str, GroupEvidence] = {}
        self._changed = anyio.Event()
        self._listeners: list[Callable[[], None]] = []
        # Start of each endpoint that is leaving, and since when.
        self._leaving_since: dict[str, tuple[int, float]] = {}
        self._proof_requested = anyio.Event()
        self._proof_requests: set[str] = set()

    def evidence(self, service: str) -> GroupEvidence:
        """Return the evidence about a group."""
        found = self._evidence.get(service)
        if found is None:
            found = GroupEvidence()
            self._evidence[service] = found
        return found

    def accept(self, catalog: Catalog) -> bool:
        """Apply a configuration unless the current one is as new."""
        current = self.catalog
        if current is not None and current.version >= catalog.version:
            return False
        self.catalog = catalog
        for listener in self._listeners:
            listener()
        self.notify_waiters()
        return True

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever a configuration has been accepted."""
        self._listeners.append(listener)

    def find_primary(
        self,
        service: str,
        now: float,
        since: float,
    ) -> tuple[Grant, EndpointEntry] | None:
        """Return the primary unless it may have been replaced before a time.

        Args:
            service: Name of the group.
            now: Current time.
            since: Every commit acknowledged before it must be in the log.
        """
        found = self._find_confirmed(service, now, since)
        self.evidence(service).record_use(is_usable=found is not None, now=now)
        return found

    def list_usable(self, service: str, now: float) -> list[EndpointEntry]:
        """Return the endpoints of a group that may get statements.

        Registrations can lapse although their endpoints are alive: when the
        store loses or refuses the endpoints' heartbeats. Those that still
        answer are used for some time longer.
        """
        usable = self.roster.of_service(service)
        evidence = self.evidence(service)
        usable.extend(
            entry
            for entry in self.roster.list_lapsed(now - _LAPSED_USE_S)
            if entry.service == service
            and now < evidence.find_answered_at(entry) + _LAPSED_SILENCE_S
        )
        return usable

    def find_linked(self, endpoint_id: str) -> EndpointEntry | None:
        """Return the entry of an endpoint to which links may be open."""
        entry = self.roster.find(endpoint_id)
        if entry is not None:
            return entry
        now = anyio.current_time()
        for lapsed in self.roster.list_lapsed(now - _LAPSED_USE_S):
            if lapsed.endpoint_id == endpoint_id:
                return lapsed
        return None

    def list_members(self, service: str, now: float) -> list[EndpointEntry]:
        """Return every endpoint of a group that could be promoted."""
        return self._list_since(service, now - _LAPSED_MEMBER_S)

    def list_receivers(self, service: str, now: float) -> list[EndpointEntry]:
        """Return every endpoint of a group that may have received commits."""
        return self._list_since(
            service, now - _LAPSED_MEMBER_S, with_leaving=True
        )

    def may_prove(self, service: str, now: float) -> bool:
        """Return whether a proof may take the place of an expired grant."""
        evidence = self.evidence(service)
        if evidence.grant is None or not evidence.proof.is_allowed:
            return False
        return now < evidence.grant.until + _MAX_UNGRANTED_S

    def request_proof(self, service: str, now: float) -> None:
        """Have the endpoints of a group asked whether the primary leads."""
        if self.may_prove(service, now):
            self._proof_requests.add(service)
            self._proof_requested.set()

    async def await_proof_requests(self) -> set[str]:
        """Return the groups for which proofs were requested since."""
        await self._proof_requested.wait()
        self._proof_requested = anyio.Event()
        requests = self._proof_requests
        self._proof_requests = set()
        return requests

    def track_leaving(self, entry: EndpointEntry, now: float) -> None:
        """Record when an endpoint began to leave, or that it stays."""
        if entry.is_draining:
            since = self._leaving_since.get(entry.endpoint_id)
            if since is None or since[0] != entry.born_ms:
                self._leaving_since[entry.endpoint_id] = (entry.born_ms, now)
        else:
            self._leaving_since.pop(entry.endpoint_id, None)

    def notify_waiters(self) -> None:
        """Wake the tasks that wait for a change."""
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def wait(self, until: float) -> None:
        """Wait for a change, at most until a time."""
        changed = self._changed
        with anyio.CancelScope(deadline=until):
            await changed.wait()

    async def wait_for_confirmation(
        self, service: str, term: int, until: float
    ) -> bool:
        """Return whether no other primary existed when this was called.

        A grant expires when a read of the store is slow or when the failover
        lease changes its holder; the next reading of the fleet table, or a
        proof by the endpoints, shows whether the term continues.
        """
        called_at = anyio.current_time()
        while True:
            now = anyio.current_time()
            evidence = self.evidence(service)
            if evidence.covers(term, called_at, now):
                return True
            is_over = evidence.grant is not None and evidence.grant.term > term
            if is_over or now >= until:
                return False
            self.request_proof(service, now)
            await self.wait(min(until, now + _GRANT_POLL_S))

    def _find_confirmed(
        self, service: str, now: float, since: float
    ) -> tuple[Grant, EndpointEntry] | None:
        evidence = self.evidence(service)
        grant = evidence.grant
        if grant is None or not evidence.covers(grant.term, since, now):
            return None
        for entry in self.list_usable(service, now):
            if grant.names(entry):
                return None if self._has_left(entry, now) else (grant, entry)
        return None

    def _list_since(
        self, service: str, since: float, *, with_leaving: bool = False
    ) -> list[EndpointEntry]:
        """Return the endpoints that are registered, or were after a time."""
        lapsed = self.roster.list_lapsed(since, with_leaving=with_leaving)
        return [
            *self.roster.of_service(service),
            *(entry for entry in lapsed if entry.service == service),
        ]

    def _has_left(self, entry: EndpointEntry, now: float) -> bool:
        since = self._leaving_since.get(entry.endpoint_id)
        return since is not None and now >= since[1] + _LEAVING_USE_S


# A leaving primary is used until its successor takes over, but no longer than
# this: an endpoint must be free of work 7 s after its row says that it leaves,
# and the row may take up to a second to arrive.
_LEAVING_USE_S = 5.0
# An endpoint whose registration has lapsed is used no longer than a leaving
# one, and only while it goes on answering statements.
_LAPSED_USE_S = _LEAVING_USE_S
_LAPSED_SILENCE_S = 1.5
# An endpoint that is gone for longer than this is not asked for a proof, nor
# waited for with its log.
_LAPSED_MEMBER_S = 30.0
# Without any reading of the store for this long, a process may not know all
# endpoints that can be promoted.
_MAX_UNGRANTED_S = 60.0
# Interval at which a task that waits for a grant checks again.
_GRANT_POLL_S = 0.05
