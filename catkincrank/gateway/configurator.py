"""Applies the platform's configuration and registrations."""

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

__all__ = ('Configurator', 'PlatformSchema')


class PlatformSchema(Protocol):
    """Names of the platform's tables and decoders of their rows.

    Attributes:
        config_table: Table that holds the configuration.
        config_key: Key of the configuration's row.
        roster_table: Table that holds the endpoint registrations.
        decode_catalog: Decodes the configuration.
        decode_entry: Decodes a registration; ``None`` if it is not usable.
    """

    config_table: str
    config_key: str
    roster_table: str
    decode_catalog: Callable[[bytes], Catalog]
    decode_entry: Callable[[str, bytes], EndpointEntry | None]


@final
class Configurator:
    """Applies changed rows of the platform's tables.

    Args:
        schema: Names the platform's tables and decodes their rows.
        groups: Local state of the groups.
        link_provider: Provides connections to the endpoints.
        list_members: Returns the members that share the endpoints.
    """

    __slots__ = (
        '_groups',
        '_link_provider',
        '_list_members',
        '_schema',
        '_started_at',
    )

    def __init__(
        self,
        schema: PlatformSchema,
        groups: Groups,
        link_provider: LinkProvider,
        list_members: Callable[[], Mapping[str, MemberRecord]],
    ) -> None:
        self._schema = schema
        self._groups = groups
        self._link_provider = link_provider
        self._list_members = list_members
        self._started_at = anyio.current_time()

    def apply_config(self, changed: tuple[RowChange, ...]) -> None:
        """Apply changed rows of the configuration table."""
        for row in changed:
            if row.key == self._schema.config_key and row.body:
                self._apply_catalog(row)

    def apply_roster(self, changed: tuple[RowChange, ...]) -> None:
        """Apply changed rows of the registration table."""
        roster = self._groups.roster
        now = anyio.current_time()
        for row in changed:
            entry = row.body and self._schema.decode_entry(row.key, row.body)
            era = row.revision.era
            if entry and roster.is_outdated(entry, era):
                roster.refuse(entry, era)
                log_event(
                    'registration_outdated',
                    endpoint=entry.endpoint_id,
                    version=str(row.revision),
                )
            elif entry:
                self._log_registration(roster.find(row.key), entry)
                roster.put(entry, era)
                self._groups.track_leaving(entry, now)
            elif roster.drop(row.key, now, era) is not None:
                log_event(
                    'endpoint_gone',
                    endpoint=row.key,
                    version=str(row.revision),
                )
        if changed:
            self.divide_connections()
            self._groups.notify_waiters()

    def divide_connections(self) -> None:
        """Divide the endpoints' connections among the members."""
        catalog = self._groups.catalog
        if catalog is None:
            return
        connections = {
            service.name: service.max_connections
            for service in catalog.services.values()
        }
        self._link_provider.configure(
            self._groups.find_linked,
            connections,
            self._list_members(),
            is_new=anyio.current_time() < self._started_at + _STARTUP_S,
        )

    def _apply_catalog(self, row: RowChange) -> None:
        try:
            catalog = self._schema.decode_catalog(row.body)
        except (RecursionError, ValueError) as error:
            log_event(
                'configuration_unreadable',
                'ERROR',
                version=str(row.revision),
                cause=str(error),
            )
            return
        if self._groups.accept(catalog):
            log_event(
                'configuration_accepted',
                version=catalog.version,
                routes=len(catalog.routes),
                row_version=str(row.revision),
            )
            self.divide_connections()

    def _log_registration(
        self,
        before: EndpointEntry | None,
        entry: EndpointEntry,
    ) -> None:
        is_restarted = before is not None and before.start != entry.start
        if is_restarted:
            log_event(
                'endpoint_restarted',
                endpoint=entry.endpoint_id,
                born_before=before.born_ms,
                born=entry.born_ms,
            )
        if before is None or before.is_draining != entry.is_draining:
            log_event(
                'endpoint_registered',
                endpoint=entry.endpoint_id,
                service=entry.service,
                leaving=entry.is_draining,
                primary=entry.claims_primary,
            )


# An endpoint still counts the connections of a VM for 3 s after a power loss.
# When many VMs start at once, each first opens one connection to each endpoint;
# only then do they compete for what the endpoint accepts beyond that.
_STARTUP_S = 0.3
