"""Keeps the catalog and the endpoints as the platform's tables say."""

from collections.abc import Callable, Mapping
from typing import Protocol, final

import anyio

from catkincrank.gateway.catalog import Catalog
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.rowstore import RowChange
from catkincrank.logs import log_event

__all__ = ('Documents', 'Knowledge')


class Documents(Protocol):
    """Decodes rows that others write; each platform has its own."""

    config_table: str
    config_key: str
    roster_table: str
    decode_catalog: Callable[[bytes], Catalog]
    decode_entry: Callable[[str, bytes], EndpointEntry | None]


@final
class Knowledge:
    """Puts what the tables say into force.

    Args:
        documents: Decodes rows.
        groups: What this process knows.
        lending: Links to the endpoints.
        list_members: Returns the processes that share the endpoints.
    """

    __slots__ = (
        '_documents',
        '_groups',
        '_lending',
        '_list_members',
        '_started_at',
    )

    def __init__(
        self,
        documents: Documents,
        groups: Groups,
        link_provider: LinkProvider,
        list_members: Callable[[], Mapping[str, MemberRecord]],
    ) -> None:
        self._documents = documents
        self._groups = groups
        self._lending = link_provider
        self._list_members = list_members
        self._started_at = anyio.current_time()

    def take_config(self, changed: tuple[RowChange, ...]) -> None:
        """Take in a reading of the configuration."""
        for row in changed:
            if row.key == self._documents.config_key and row.body:
                self._accept(row)

    def take_roster(self, changed: tuple[RowChange, ...]) -> None:
        """Take in a reading of the registrations."""
        roster = self._groups.roster
        now = anyio.current_time()
        for row in changed:
            entry = row.body and self._documents.decode_entry(row.key, row.body)
            if entry:
                self._note(roster.find(row.key), entry)
                roster.put(entry)
                self._groups.note_leaving(entry, now)
            elif roster.drop(row.key) is not None:
                log_event(
                    'endpoint_gone', endpoint=row.key, version=row.version
                )
        if changed:
            self.apply()
            self._groups.notify_waiters()

    def apply(self) -> None:
        """Divide the endpoints' connections among the members."""
        catalog = self._groups.catalog
        if catalog is None:
            return
        connections = {
            service.name: service.max_connections
            for service in catalog.services.values()
        }
        self._lending.configure(
            self._groups.roster.find,
            connections,
            self._list_members(),
            is_new=anyio.current_time() < self._started_at + _LINGER_S,
        )

    def _accept(self, row: RowChange) -> None:
        try:
            catalog = self._documents.decode_catalog(row.body)
        except ValueError as error:
            log_event(
                'configuration_unreadable',
                'ERROR',
                version=row.version,
                cause=str(error),
            )
            return
        if self._groups.accept(catalog):
            log_event(
                'configuration_accepted',
                version=catalog.version,
                routes=len(catalog.routes),
                row_version=row.version,
            )
            self.apply()

    def _note(
        self,
        before: EndpointEntry | None,
        entry: EndpointEntry,
    ) -> None:
        if before is None or before.is_draining != entry.is_draining:
            log_event(
                'endpoint_registered',
                endpoint=entry.endpoint_id,
                service=entry.service,
                leaving=entry.is_draining,
                primary=entry.claims_primary,
            )


# An endpoint counts the connections of a VM that lost its power for 3 s. A
# process that starts may follow one that died with many others, so it makes do
# with one connection to each endpoint until these have gone.
_LINGER_S = 3.3
