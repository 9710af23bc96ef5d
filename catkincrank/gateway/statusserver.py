"""Serves readiness checks, metrics and the state dump over HTTP."""

import dataclasses
import importlib
from functools import partial
from socket import socket
from typing import TYPE_CHECKING, Any, final

import anyio
import msgspec
from anyio.abc import SocketListener

from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.httpserver import HttpRequest, HttpResponse, HttpServer
from catkincrank.logs import start_logger
from catkincrank.metrics import CONTENT_TYPE

if TYPE_CHECKING:
    from catkincrank.gateway.daemon import Gateway

__all__ = ('StatusServer',)

_UNAVAILABLE = 503
# Libraries that only monitoring needs are imported after this time, when a
# process has usually served its first callers. In a thread, as an import takes
# a slow VM longer than a statement may take.
_LATER_IMPORTS_S = 10
_LATER_LIBRARIES = ('loguru', 'prometheus_client')


@final
class StatusServer:
    """HTTP servers for readiness and for monitoring.

    Args:
        gateway: The gateway process.
    """

    __slots__ = ('_gateway', '_readiness')

    def __init__(self, gateway: 'Gateway') -> None:
        self._gateway = gateway
        self._readiness = HttpServer(
            {'GET /v1/ready': self._answer_ready}, gateway.options.limits.http
        )
        self._register_gauges()

    async def run(self) -> None:
        """Serve until cancelled.

        With early listeners, readiness is served after ``serve_readiness``.
        """
        options = self._gateway.options
        status = HttpServer(
            {
                'GET /metrics': self._render_metrics,
                'GET /state': self._dump_state,
            },
            options.limits.http,
        )
        async with anyio.create_task_group() as tasks:
            if not self._gateway.has_early_listeners:
                tasks.start_soon(
                    self._readiness.serve,
                    options.readiness.host,
                    options.readiness.port,
                )
            tasks.start_soon(self._import_libraries)
            tasks.start_soon(
                status.serve,
                options.metrics.host,
                options.metrics.port,
            )

    async def serve_readiness(self, early: socket) -> None:
        """Serve readiness checks on a socket that was bound early."""
        listener = await SocketListener.from_socket(early)
        await self._readiness.serve_listener(listener)

    async def _import_libraries(self) -> None:
        # One after the other, so that no import delays callers for long.
        for library in _LATER_LIBRARIES:
            await anyio.sleep(_LATER_IMPORTS_S)  # noqa: WPS476
            importlib.import_module(library)
        start_logger()
        self._gateway.metrics.load()

    def _register_gauges(self) -> None:
        """Register the gauges of the process."""
        gateway = self._gateway
        watch = gateway.metrics.watch
        watch(
            'callers',
            'Connections of callers.',
            lambda: len(gateway.session_server.callers),
        )
        watch(
            'configuration_version',
            'Version of the configuration in force; 0 before the first.',
            lambda: (
                gateway.groups.catalog.version if gateway.groups.catalog else 0
            ),
        )
        watch(
            'duty_token',
            'Fencing token of this process; 0 if it may not replace primaries.',
            lambda: gateway.failover.lease.token,
        )
        for copy in gateway.tables.copies:
            watch(
                'reading_age_seconds_{0}'.format(copy.table),
                'Age of the newest reading of a table of the store.',
                partial(_find_age, copy),
            )

    async def _answer_ready(self, _request: HttpRequest) -> HttpResponse:
        drain = self._gateway.drain
        is_accepting = drain.is_listening and not drain.is_started
        if is_accepting and self._gateway.fleet_monitor.is_connected:
            return HttpResponse(b'{}')
        return HttpResponse(b'{}', _UNAVAILABLE)

    async def _render_metrics(self, _request: HttpRequest) -> HttpResponse:
        return HttpResponse(
            self._gateway.metrics.render(),
            content_type=CONTENT_TYPE,
        )

    async def _dump_state(self, _request: HttpRequest) -> HttpResponse:
        return HttpResponse(msgspec.json.encode(describe(self._gateway)))


def _find_age(copy: TableCopy) -> float:
    return anyio.current_time() - copy.read_at


def describe(gateway: 'Gateway') -> dict[str, Any]:
    """Return the state dump of a gateway process."""
    now = anyio.current_time()
    catalog = gateway.groups.catalog
    fleet = gateway.tables.fleet_state
    return {
        'name': fleet.own_member.name,
        'incarnation': fleet.own_member.incarnation,
        'configuration': catalog and catalog.version,
        'callers': len(gateway.session_server.callers),
        'draining': gateway.drain.is_started,
        'duty_token': gateway.failover.lease.token,
        'members': sorted(fleet.members),
        'readings': {
            copy.table: {
                'era': copy.revision.era,
                'version': copy.revision.version,
                'age_s': round(now - copy.read_at, 3),
            }
            for copy in gateway.tables.copies
            if copy.is_loaded
        },
        'groups': {
            service: {
                'primary': record.primary,
                'term': record.term,
                'replacing': record.is_replacing,
                'granted': gateway.groups.evidence(service).holds(
                    record.term,
                    now,
                ),
            }
            for service, (_, record) in fleet.records.items()
        },
        'quotas': gateway.failover.quotas.describe(),
        'pools': [
            dataclasses.asdict(pool)
            for pool in gateway.link_provider.list_pools()
        ],
    }
