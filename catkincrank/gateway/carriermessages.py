"""Messages between gateways and carriers, encoded by ``envelope``.

A carrier is a gateway that runs statements on its connections for callers of
other gateways.
"""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message
from catkincrank.gateway.position import Position
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.statement import Prepared

__all__ = (
    'CarriedOrganisation',
    'CarriedValue',
    'CarryReply',
    'CarryRequest',
    'Destination',
)


@final
@dataclass(frozen=True, slots=True)
class Destination:
    """The endpoint incarnation that a statement is addressed to.

    Attributes:
        service: Group of the endpoint.
        endpoint: Identifier of the endpoint.
        host: IP number.
        port: TCP port.
        born_ms: Start time of the endpoint, in Unix milliseconds.
    """

    service: str
    endpoint: str
    host: str
    port: int
    born_ms: int

    @classmethod
    def of_entry(cls, entry: EndpointEntry) -> 'Destination':
        """Return the destination of a registered endpoint."""
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


@final
@dataclass(frozen=True, slots=True)
class CarriedOrganisation:
    """The organisation of a statement, with its prepared statement.

    Attributes:
        name: Name of the organisation; not empty.
        prepared: Prepared statement to execute, if any.
    """

    name: str
    prepared: Prepared | None = None


@register_message('carryRequest')
@final
@dataclass(frozen=True, slots=True)
class CarryRequest:
    """Request to a carrier to run a statement.

    It is sent for every statement, often between regions, so it leaves out what
    the carrier already knows or can derive.

    Attributes:
        action: Value of the statement's ``Kind``.
        request_id: The caller's identifier of the request.
        text: The statement, or the arguments of an execution.
        limit_s: Time limit of the statement, in seconds.
        destination: Endpoint to run on; ``None`` for that of the previous
            statement on the connection.
        after: Position that the log must have reached.
        values: All session values that must be set; any others are reset.
        prepared: Prepared statement to execute, if any; ``None`` in a request
            of an organisation.
        route: Name of the route; links are shared fairly between routes.
        priority: Queue priority; 0 is served first.
        organised: Organisation whose link must run the statement; ``None`` for
            a link of the carrier itself.
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
    organised: CarriedOrganisation | None = None

    @property
    def organisation(self) -> str:
        """Name of the organisation; empty for none."""
        return '' if self.organised is None else self.organised.name

    @property
    def wanted(self) -> Prepared | None:
        """Prepared statement to execute, if any."""
        if self.organised is None:
            return self.prepared
        return self.organised.prepared


@register_message('carryReply')
@final
@dataclass(frozen=True, slots=True)
class CarryReply:
    """Result of a carried statement.

    Attributes:
        rows: Rows as the endpoint sent them.
        signature: The endpoint's proof that it ran the statement.
        failure: Name of the failure; empty for a success.
        detail: The endpoint's explanation of the failure.
        status: Transaction state afterwards.
        position: Position of the endpoint's log afterwards, if reported.
        error: Why there is no complete reply; empty if there is one.
        was_sent: Whether the endpoint may have run it despite the error.
        is_full: Whether the carrier's queue for the endpoint is full.
        is_declined: Whether the carrier declined it; another one may accept.
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
