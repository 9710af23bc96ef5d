"""Messages that carry statements; ``envelope`` has their form."""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import file_message
from catkincrank.gateway.position import Position
from catkincrank.gateway.statement import Prepared

__all__ = (
    'CarriedClaim',
    'CarriedStatement',
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


@final
@dataclass(frozen=True, slots=True)
class CarriedStatement:
    """A statement; see ``Statement``, whose kind it names."""

    kind: str
    request_id: bytes = b''
    text: bytes = b''
    name: bytes = b''
    operand: bytes = b''


@final
@dataclass(frozen=True, slots=True)
class CarriedValue:
    """A session value that must be set when the statement runs."""

    name: bytes
    content: bytes


@final
@dataclass(frozen=True, slots=True)
class CarriedClaim:
    """What decides who gets a connection first.

    Attributes:
        route: Name of the route.
        priority: 0 is served first.
        limit_s: Time that the statement may take, in seconds.
    """

    route: str
    priority: int
    limit_s: float


@file_message('carryRequest')
@final
@dataclass(frozen=True, slots=True)
class CarryRequest:
    """Asks a carrier to run a statement.

    Attributes:
        destination: Where it runs.
        action: What to do with it; see ``carriage``.
        statement: The statement.
        is_read_only: Whether a transaction that begins only reads.
        after: Position that the log must hold.
        values: Session values that must be set, and no others.
        prepared: What the statement executes, if it is prepared.
        claim: What decides who gets a connection first.
    """

    destination: Destination
    action: str
    statement: CarriedStatement
    is_read_only: bool
    after: Position | None
    values: tuple[CarriedValue, ...]
    prepared: Prepared | None
    claim: CarriedClaim


@file_message('carryReply')
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
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b''
    failure: str = ''
    detail: bytes = b''
    status: str = ''
    position: Position | None = None
    error: str = ''
    was_sent: bool = False
