"""Messages that carry statements; ``envelope`` has their form."""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.statement import Prepared

__all__ = (
    'CarriedValue',
    'CarryReply',
    'CarryRequest',
    'Destination',
)


@final
@dataclass(frozen=True, slots=True)
class Destination:
    """The incarnation of an endpoint that a statement is for.

    Attributes:
        service: Group that it belongs to.
        endpoint: Its identifier.
        host: IP number.
        port: TCP port.
        born_ms: Its start, in Unix milliseconds.
    """

    service: str
    endpoint: str
    host: str
    port: int
    born_ms: int

    @classmethod
    def of_entry(cls, entry: EndpointEntry) -> 'Destination':
        """Return the destination that a registration stands for."""
        return cls(
            entry.service,
            entry.endpoint_id,
            entry.host,
            entry.port,
            entry.born_ms,
        )


@final
@dataclass(frozen=True, slots=True)
class CarriedValue:
    """A session value that must be set when the statement runs."""

    name: bytes
    content: bytes


@register_message('carryRequest')
@final
@dataclass(frozen=True, slots=True)
class CarryRequest:
    """Asks a carrier to run a statement.

    It is sent once for each statement, often between regions: what the carrier
    can work out or knows already is left out.

    Attributes:
        action: What to do: the value of a ``Kind``.
        request_id: The caller's identifier of the request.
        text: The statement, or the arguments of an execution.
        limit_s: Time that the statement may take, in seconds.
        destination: Where it runs; ``None`` for where the one before ran.
        after: Position that the log must hold.
        values: Session values that must be set, and no others.
        prepared: What the statement executes, if it is prepared.
        route: Name of the route, whose statements share links fairly.
        priority: 0 is served first.
    """

    action: str
    request_id: bytes
    text: bytes
    limit_s: float
    destination: Destination | None
    after: Position | None
    values: tuple[CarriedValue, ...]
    prepared: Prepared | None
    route: str
    priority: int


@register_message('carryReply')
@final
@dataclass(frozen=True, slots=True)
class CarryReply:
    """What came of a carried statement.

    Attributes:
        rows: Rows as the endpoint sent them.
        signature: The endpoint's proof that it ran the statement.
        failure: Name of the failure; empty for a success.
        detail: The endpoint's words on it.
        status: Transaction state afterwards.
        position: Position of the endpoint's log afterwards, if it said.
        error: Why no whole answer came; empty if one did.
        was_sent: Whether the endpoint may have run it all the same.
        is_full: Whether too many statements wait for the endpoint.
        is_declined: Whether another carrier may take it.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b''
    failure: str = ''
    detail: bytes = b''
    status: str = ''
    position: Position | None = None
    error: str = ''
    was_sent: bool = False
    is_full: bool = False
    is_declined: bool = False
