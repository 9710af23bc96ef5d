"""Admin port: metrics, state dump, health, readiness and drain over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

import anyio
import msgspec
from anyio.abc import TaskStatus

from catkincrank.httpserver import HttpRequest, HttpResponse, HttpServer, Route
from catkincrank.logs import log_event, redact
from catkincrank.metrics import CONTENT_TYPE, Metrics

__all__ = ('AdminHooks', 'AdminServer')

_OK = 200
_NOT_READY = 503


@final
@dataclass(frozen=True, slots=True)
class AdminHooks:
    """Callbacks that the admin port makes to its process.

    Attributes:
        dump_state: Returns the state as plain maps, lists and scalars.
        list_obstacles: Returns the reasons why the process is not ready; empty
            when it is ready.
        request_drain: Begins a drain; returns the work it waits for. ``None``
            if the process does not support draining.
    """

    dump_state: Callable[[], dict[str, Any]]
    list_obstacles: Callable[[], list[str]]
    request_drain: Callable[[], list[str]] | None = None


@final
class AdminServer:
    """Serves the admin port of one process.

    Args:
        hooks: Callbacks to the process.
        metrics: Metrics of the process.
    """

    def __init__(self, hooks: AdminHooks, metrics: Metrics) -> None:
        self._hooks = hooks
        self._metrics = metrics
        routes = {
            'GET /metrics': self._show_metrics,
            'GET /state': self._show_state,
            'GET /health': self._show_health,
            'GET /ready': self._show_readiness,
        }
        if hooks.request_drain is not None:
            routes['POST /drain'] = self._drain
        self._server = HttpServer(
            {key: _make_route(answer) for key, answer in routes.items()},
        )

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the port when ready."""
        async with anyio.create_task_group() as tasks:
            opened = await tasks.start(self._server.serve, host, port)
            log_event('admin_opened', host=host, port=opened)
            task_status.started(opened)

    def _show_metrics(self) -> HttpResponse:
        return HttpResponse(self._metrics.render(), content_type=CONTENT_TYPE)

    def _show_state(self) -> HttpResponse:
        return _encode(self._hooks.dump_state())

    def _show_health(self) -> HttpResponse:
        return _encode({'healthy': True})

    def _show_readiness(self) -> HttpResponse:
        obstacles = self._hooks.list_obstacles()
        return _encode(
            {'ready': not obstacles, 'obstacles': obstacles},
            _NOT_READY if obstacles else _OK,
        )

    def _drain(self) -> HttpResponse:
        request_drain = self._hooks.request_drain
        pending = [] if request_drain is None else request_drain()
        return _encode({'draining': True, 'waits_for': pending})


def _make_route(answer: Callable[[], HttpResponse]) -> Route:
    async def respond(request: HttpRequest) -> HttpResponse:  # noqa: WPS430
        return answer()

    return respond


def _encode(content: dict[str, Any], status: int = _OK) -> HttpResponse:
    body = msgspec.json.encode(redact(content), enc_hook=str)
    return HttpResponse(body, status)
