"""Endpoints of one group that replicate asynchronously."""

from dataclasses import dataclass
from typing import final

import anyio

from catkincrank.gateway.position import Position
from catkincrank.standins.memoryendpoints import (
    MemoryEndpoint,
    MemoryEndpointGroup,
)

__all__ = ('AsyncGroup', 'Endpoint', 'Lead')

# A replaced primary steps down this long after it can reach the new one.
_STEP_DOWN_S = 1.0
# The databases are in use when the gateways start.
_EARLIER_COMMITS = 200
_NO_POSITION = Position(0, 0)


@final
@dataclass(frozen=True, slots=True)
class Lead:
    """One endpoint's time as the primary that the platform named.

    Attributes:
        at: When the promotion took effect, in seconds.
        endpoint_id: The endpoint.
        term: Its term.
        held: Position of its log then.
    """

    at: float
    endpoint_id: str
    term: int
    held: Position

    def describe(self) -> str:
        """Return the line of a record."""
        return '{0:.3f} {1} leads term {2}, with its log at {3}'.format(
            self.at, self.endpoint_id, self.term, self.held
        )


class Endpoint(MemoryEndpoint):
    """Endpoint that knows no position once it has lost its log."""

    @property
    def position(self) -> Position:
        """Position of the newest entry; 0.0 without one."""
        return self.log[-1][1] if self.log else _NO_POSITION


class AsyncGroup(MemoryEndpointGroup):
    """Group whose replaced primary goes on for a second.

    Attributes:
        deaf: Identifiers of the replicas that receive nothing.
        leads: The primaries so far, the newest last.
    """

    def __init__(
        self, service: str, names: tuple[str, ...], promote_s: float
    ) -> None:
        super().__init__(service, names, promote_s)
        log = [
            (anyio.current_time(), Position(1, number + 1))
            for number in range(_EARLIER_COMMITS)
        ]
        self.instances = {name: Endpoint(name, log=list(log)) for name in names}
        self.newest_primary = self.instances[names[0]]
        self.newest_primary.is_primary = True
        self.deaf: set[str] = set()
        self.leads = [
            Lead(
                anyio.current_time(),
                names[0],
                1,
                self.newest_primary.position,
            )
        ]

    def promote(self, endpoint_id: str) -> None:
        """Make an endpoint the primary of the next term with its own log."""
        chosen = self.instances[endpoint_id]
        if chosen is self.newest_primary:
            return
        self.catch_up()
        terms = [one.term for one in self.instances.values()]
        chosen.term = max(terms) + 1
        chosen.is_primary = True
        self.newest_primary = chosen
        self.leads.append(
            Lead(
                anyio.current_time(),
                endpoint_id,
                chosen.term,
                chosen.position,
            )
        )

    def catch_up(self) -> None:
        """Replicate the newest primary's log to the replicas."""
        source = self.newest_primary
        if not (source.is_up and source.is_primary):
            return
        for one in self.instances.values():
            self._step_down(one)
            is_replica = (
                one.is_up
                and not one.is_primary
                and one.endpoint_id not in self.deaf
            )
            if is_replica and one.log != source.log:
                one.log = list(source.log)
            if is_replica:
                one.term = source.term

    def restart(self, instance: MemoryEndpoint, born_ms: int) -> None:
        """Start an endpoint again under its name; it knows nothing."""
        super().restart(instance, born_ms)
        instance.term = 0

    def _step_down(self, one: MemoryEndpoint) -> None:
        """Make a replaced primary a replica once it knows its successor."""
        is_replaced = one.is_primary and one is not self.newest_primary
        replaced_s = anyio.current_time() - self.leads[-1].at
        if is_replaced and replaced_s > _STEP_DOWN_S:
            one.is_primary = False
