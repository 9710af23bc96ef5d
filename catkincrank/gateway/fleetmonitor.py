"""Whether a process is in touch with the fleet, and what follows if not."""

from typing import final

import anyio

from catkincrank.gateway.fleetstate import GRANT_DURATION_S
from catkincrank.gateway.sessionserver import SessionServer
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.logs import log_event

__all__ = ('FleetMonitor',)

# Grants end soon after; new callers are better served elsewhere.
_DETACHED_S = GRANT_DURATION_S - 0.5
# The balancer takes two seconds to send new callers elsewhere; only then does
# ending a session bring its caller to another process.
_SHED_AFTER_S = 2.2
_STEP_S = 0.2


@final
class FleetMonitor:
    """Watches the age of the readings that grants rest on.

    Args:
        fleet: Copy of the fleet's table.
        front: Serves callers.
    """

    __slots__ = ('_detached_at', '_fleet', '_front', '_has_shed')

    def __init__(self, fleet: TableCopy, front: SessionServer) -> None:
        self._fleet = fleet
        self._front = front
        self._detached_at: float | None = None
        self._has_shed = False

    @property
    def is_connected(self) -> bool:
        """Whether readings are young enough to serve new callers."""
        return anyio.current_time() - self._fleet.read_at < _DETACHED_S

    async def run(self) -> None:
        """Send callers elsewhere while this process is cut off."""
        while True:
            await anyio.sleep(_STEP_S)
            if self.is_connected:
                self._note_return()
            elif self._fleet.is_loaded:
                self._note_loss()

    def _note_return(self) -> None:
        if self._detached_at is not None:
            log_event('fleet_regained', version=self._fleet.version)
        self._detached_at = None
        self._has_shed = False

    def _note_loss(self) -> None:
        now = anyio.current_time()
        if self._detached_at is None:
            self._detached_at = now
            log_event('fleet_lost', 'WARNING', version=self._fleet.version)
        if now >= self._detached_at + _SHED_AFTER_S and not self._has_shed:
            self._has_shed = True
            log_event(
                'callers_sent_elsewhere', callers=len(self._front.callers)
            )
            self._front.close_idle()
