"""Registered endpoints, by service."""

from dataclasses import dataclass
from typing import final

__all__ = ('EndpointEntry', 'Roster')


@final
@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Registration of an endpoint, as it wrote it.

    Attributes:
        endpoint_id: Identifier of the endpoint.
        service: Group that it belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        slots: Statements that it runs concurrently.
        is_draining: Whether it is about to leave.
        claims_primary: Whether it reports itself as the primary; only a hint,
            as a replaced primary may not have been told yet.
        born_ms: Start of this incarnation, in Unix milliseconds; 0 if unknown.
        sequence: Number of its writes in this incarnation; 0 if unknown.
    """

    endpoint_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool = False
    claims_primary: bool = False
    born_ms: int = 0
    sequence: int = 0

    @property
    def start(self) -> tuple[str, int]:
        """Identifies one start of the endpoint.

        Nothing that is known of another start holds for this one.
        """
        return self.endpoint_id, self.born_ms


@final
@dataclass(frozen=True, slots=True)
class LapsedEntry:
    """Registration that is gone from the platform's list.

    Attributes:
        entry: The registration.
        lapsed_at: When its removal was read, in seconds.
    """

    entry: EndpointEntry
    lapsed_at: float


@final
@dataclass(frozen=True, slots=True)
class _Seen:
    """Newest registration of an endpoint that was read.

    Attributes:
        entry: The registration.
        era: Era of the store when it was read.
        is_removed: Whether its removal was read in that era.
    """

    entry: EndpointEntry
    era: int
    is_removed: bool = False


@final
class Roster:
    """Registered endpoints, and those whose registration is gone."""

    __slots__ = ('_entries', '_lapsed', '_refused', '_seen')

    def __init__(self) -> None:
        self._entries: dict[str, EndpointEntry] = {}
        self._lapsed: dict[str, LapsedEntry] = {}
        self._seen: dict[str, _Seen] = {}
        # First registration of an endpoint that was outdated in its era.
        self._refused: dict[str, _Seen] = {}

    def is_outdated(self, entry: EndpointEntry, era: int) -> bool:
        """Return whether a restored store brought back an old registration.

        An endpoint that has left, or is leaving, writes nothing newer; one that
        runs writes its registration again. That is also how one is recognized
        whose clock went back, or of which another writer gave a later start.
        """
        seen = self._seen.get(entry.endpoint_id)
        if seen is None or seen.era == era or not entry.sequence:
            return False
        refused = self._refused.get(entry.endpoint_id)
        if refused is not None and refused.era == era:
            is_rewritten = entry.sequence > refused.entry.sequence
            if is_rewritten and entry.start == refused.entry.start:
                return False
        if entry.born_ms != seen.entry.born_ms:
            return entry.born_ms < seen.entry.born_ms
        newest = seen.entry.sequence
        return entry.sequence < newest + seen.is_removed

    def refuse(self, entry: EndpointEntry, era: int) -> None:
        """Keep an outdated registration, to recognize a newer write of it."""
        refused = self._refused.get(entry.endpoint_id)
        is_known = refused is not None and refused.era == era
        if not (is_known and refused.entry.start == entry.start):
            self._refused[entry.endpoint_id] = _Seen(entry, era)

    def put(self, entry: EndpointEntry, era: int = 0) -> None:
        """Add or replace an entry that was read in an era of the store."""
        self._entries[entry.endpoint_id] = entry
        self._lapsed.pop(entry.endpoint_id, None)
        self._refused.pop(entry.endpoint_id, None)
        self._seen[entry.endpoint_id] = _Seen(entry, era)

    def drop(
        self, endpoint_id: str, now: float, era: int = 0
    ) -> EndpointEntry | None:
        """Remove an entry; return it if it was there."""
        entry = self._entries.pop(endpoint_id, None)
        if entry is not None:
            self._lapsed[endpoint_id] = LapsedEntry(entry, now)
            # A restored store may lack a registration that was not removed.
            if self._seen[endpoint_id].era == era:
                self._seen[endpoint_id] = _Seen(entry, era, is_removed=True)
        return entry

    def find_lapsed(self, endpoint_id: str) -> EndpointEntry | None:
        """Return the last entry of an endpoint whose registration is gone."""
        lapsed = self._lapsed.get(endpoint_id)
        return lapsed and lapsed.entry

    def list_lapsed(
        self, since: float, *, with_leaving: bool = False
    ) -> list[EndpointEntry]:
        """Return the entries that went after a time.

        Entries whose address has been registered by another endpoint are left
        out.

        Args:
            since: The time, in seconds.
            with_leaving: Whether to include endpoints that announced their
                leave.
        """
        recent = [
            lapsed.entry
            for lapsed in self._lapsed.values()
            if lapsed.lapsed_at > since
            and (with_leaving or not lapsed.entry.is_draining)
        ]
        if not recent:
            return recent
        taken = {(entry.host, entry.port) for entry in self._entries.values()}
        return [
            entry for entry in recent if (entry.host, entry.port) not in taken
        ]

    def find(self, endpoint_id: str) -> EndpointEntry | None:
        """Return an entry."""
        return self._entries.get(endpoint_id)

    def of_service(self, service: str) -> list[EndpointEntry]:
        """Return the entries of one service."""
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service
        ]

    def list_entries(self) -> list[EndpointEntry]:
        """Return all entries."""
        return list(self._entries.values())
