"""Moves callers to other processes while the fleet's table cannot be read."""

from typing import final

import anyio

from catkincrank.gateway.grants import GRANT_DURATION_S
from catkincrank.gateway.sessionserver import SessionServer
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.logs import log_event

__all__ = ('FleetMonitor',)

# Grants expire soon after this age, so new callers are better served elsewhere.
_MAX_READING_AGE_S = GRANT_DURATION_S - 0.5
# The load balancer takes 2 s to stop sending new callers here; a session that
# is closed earlier could reconnect to this process.
_CLOSE_SESSIONS_AFTER_S = 2.2
_CHECK_INTERVAL_S = 0.5


@final
class FleetMonitor:
    """Monitors the age of the table readings that grants depend on.

    Args:
        fleet: Local copy of the fleet's table.
        session_server: Serves callers.
    """

    __slots__ = (
        '_fleet',
        '_has_closed_sessions',
        '_lost_at',
        '_session_server',
    )

    def __init__(self, fleet: TableCopy, session_server: SessionServer) -> None:
        self._fleet = fleet
        self._session_server = session_server
        self._lost_at: float | None = None
        self._has_closed_sessions = False

    @property
    def is_connected(self) -> bool:
        """Whether the last reading is recent enough to serve new callers."""
        return anyio.current_time() - self._fleet.read_at < _MAX_READING_AGE_S

    async def run(self) -> None:
        """Close idle sessions while the fleet's table cannot be read."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            if self.is_connected:
                self._handle_regained()
            elif self._fleet.is_loaded:
                self._handle_lost()

    def _handle_regained(self) -> None:
        if self._lost_at is not None:
            log_event('fleet_regained', version=str(self._fleet.revision))
        self._lost_at = None
        self._has_closed_sessions = False

    def _handle_lost(self) -> None:
        now = anyio.current_time()
        if self._lost_at is None:
            self._lost_at = now
            log_event(
                'fleet_lost', 'WARNING', version=str(self._fleet.revision)
            )
        if (
            now >= self._lost_at + _CLOSE_SESSIONS_AFTER_S
            and not self._has_closed_sessions
        ):
            self._has_closed_sessions = True
            log_event(
                'callers_sent_elsewhere',
                callers=len(self._session_server.callers),
            )
            self._session_server.end_when_idle()
