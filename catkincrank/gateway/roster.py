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
class Roster:
    """Registered endpoints, and those whose registration is gone."""

    __slots__ = ('_entries', '_lapsed')

    def __init__(self) -> None:
        self._entries: dict[str, EndpointEntry] = {}
        self._lapsed: dict[str, LapsedEntry] = {}

    def put(self, entry: EndpointEntry) -> None:
        """Add or replace an entry."""
        self._entries[entry.endpoint_id] = entry
        self._lapsed.pop(entry.endpoint_id, None)

    def drop(self, endpoint_id: str, now: float) -> EndpointEntry | None:
        """Remove an entry; return it if it was there."""
        entry = self._entries.pop(endpoint_id, None)
        if entry is not None:
            self._lapsed[endpoint_id] = LapsedEntry(entry, now)
        return entry

    def find_lapsed(self, endpoint_id: str) -> EndpointEntry | None:
        """Return the last entry of an endpoint whose registration is gone."""
        lapsed = self._lapsed.get(endpoint_id)
        return lapsed and lapsed.entry

    def list_lapsed(self, since: float) -> list[EndpointEntry]:
        """Return the entries that went after a time without a notice.

        Entries of endpoints that announced their leave are left out, and those
        whose address has been registered by another endpoint.
        """
        recent = [
            lapsed.entry
            for lapsed in self._lapsed.values()
            if lapsed.lapsed_at > since and not lapsed.entry.is_draining
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
