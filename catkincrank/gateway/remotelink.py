"""Links to endpoints through a carrier; see ``carriers``."""

from typing import final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import EndpointError, MessageError
from catkincrank.gateway.carriermessages import (
    CarriedOrganisation,
    CarriedValue,
    CarryReply,
    CarryRequest,
    Destination,
)
from catkincrank.gateway.carriers import Carriers
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.link import (
    EndpointLink,
    EndpointState,
    LinkDriver,
    LinkRefusedError,
)
from catkincrank.gateway.linkpools import LinkRequest
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure, Refusal, Reply
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.statement import Kind, Prepared, Statement
from catkincrank.links import Link, LinkClosedError, dial

__all__ = ('RemoteDriver', 'RemoteLink')

# A new connection between VMs takes one round trip, of at most 24 ms.
_DIAL_TIMEOUT_S = 0.4
# The carrier times out this much earlier, so that its reply arrives in time.
_REPLY_MARGIN_S = 0.05
_MIN_TIMEOUT_S = 0.01
_MAX_TIMEOUT_S = 30.0
_LINK_ERRORS = (LinkClosedError, MessageError)
_NO_LINK_REQUEST = LinkRequest('', 0, 0)


@final
class RemoteLink(EndpointLink):  # noqa: WPS214
    """One connection to a carrier, for statements to one endpoint.

    For each statement or transaction the carrier borrows one of its own links
    and applies the session's state to it.

    Args:
        link: Connection to the carrier.
        entry: Endpoint of the statements.
        carriers: Chooses carriers; is informed of replies and failures.
        carrier: Carrier at the other end.
    """

    __slots__ = (
        '_carrier',
        '_carriers',
        '_destination',
        '_link',
        '_link_request',
        '_prepared',
        '_status',
        '_values',
        'prepared',
        'values',
    )

    def __init__(
        self,
        link: Link,
        entry: EndpointEntry,
        carriers: Carriers,
        carrier: MemberRecord,
    ) -> None:
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[Prepared, bytes] = {}
        self._link = link
        self._carriers = carriers
        self._carrier = carrier
        self._link_request = _NO_LINK_REQUEST
        self._status = TransactionStatus.IDLE
        self._values: tuple[CarriedValue, ...] = ()
        self._prepared: Prepared | None = None
        self._destination: Destination | None = Destination.of_entry(entry)

    @property
    def status(self) -> TransactionStatus:
        """The transaction state that the endpoint reported last."""
        return self._status

    @property
    def is_alive(self) -> bool:
        """Whether the connection is not known to have ended."""
        return not self._link.has_ended

    def apply_link_request(self, link_request: LinkRequest) -> None:
        """Set the route, priority and organisation of the next statements."""
        self._link_request = link_request

    async def apply_session(
        self,
        values: dict[bytes, bytes],
        wanted: Prepared | None,
    ) -> bool:
        """Store the session's state, which is sent with each statement."""
        self._values = tuple(
            CarriedValue(name, content) for name, content in values.items()
        )
        self._prepared = wanted
        return True

    async def run(
        self,
        statement: Statement,
        after: Position | None = None,
        alias: bytes = b'',
    ) -> Reply:
        """Forward a caller's statement; the carrier finds the alias."""
        text = statement.text
        if statement.kind is Kind.EXECUTE:
            text = statement.operand
        return await self._request(
            statement.kind, after, statement.request_id, text
        )

    async def begin(
        self,
        *,
        is_read_only: bool,
        after: Position | None,
    ) -> Reply:
        """Begin a transaction."""
        kind = Kind.BEGIN_READ if is_read_only else Kind.BEGIN
        return await self._request(kind, after)

    async def roll_back(self) -> Reply:
        """Roll the transaction back."""
        return await self._request(Kind.ROLLBACK)

    async def configure(
        self,
        values: dict[bytes, bytes],
        prepared: Prepared | None,
        *,
        is_reset: bool,
    ) -> bool:
        """Do nothing; the carrier configures its own links."""
        return True

    async def fetch_state(self) -> EndpointState | None:
        """Return ``None``; endpoint states are queried directly."""

    async def demote(self, term: int) -> EndpointState | None:
        """Return ``None``; endpoint states are queried directly."""

    async def probe(self) -> None:
        """Check that the connection to the carrier has not ended."""
        if self._link.has_ended:
            raise EndpointError(
                'the carrier closed the connection', was_sent=False
            )

    async def close(self) -> None:
        """Close; the carrier rolls back an open transaction."""
        await self._link.close()

    async def _request(
        self,
        kind: Kind,
        after: Position | None = None,
        request_id: bytes = b'',
        text: bytes = b'',
    ) -> Reply:
        organisation = self._link_request.organisation
        organised = None
        if organisation:
            organised = CarriedOrganisation(organisation, self._prepared)
        request = CarryRequest(
            kind.value,
            request_id,
            text,
            _find_timeout_s(),
            self._destination,
            after,
            self._values,
            None if organised else self._prepared,
            self._link_request.route,
            self._link_request.priority,
            organised,
        )
        answer = await self._exchange(request)
        self._destination = None
        return self._decode(answer)

    async def _exchange(self, request: CarryRequest) -> CarryReply:
        sent_at = anyio.current_time()
        try:
            await self._link.send(request)
            answer = await self._link.receive()
        except _LINK_ERRORS as error:
            self._avoid(str(error))
            reason = 'carrier {0}: {1}'.format(self._carrier.name, error)
            raise EndpointError(reason, was_sent=True) from None
        except BaseException:
            now = anyio.current_time()
            self._carriers.record_timeout(self._carrier, sent_at, now)
            raise
        self._carriers.record_reply(self._carrier)
        if isinstance(answer, CarryReply):
            return answer
        raise EndpointError('malformed reply from the carrier', was_sent=True)

    def _decode(self, answer: CarryReply) -> Reply:
        if answer.is_full:
            raise LinkRefusedError(Failure.OVERLOADED, answer.error)
        if answer.error:
            if answer.is_declined:
                self._avoid(answer.error)
            reason = 'carrier {0}: {1}'.format(self._carrier.name, answer.error)
            raise EndpointError(reason, was_sent=answer.was_sent)
        self._status = TransactionStatus(answer.status)
        refusal = None
        if answer.failure:
            refusal = Refusal(Failure[answer.failure], answer.detail)
        return Reply(
            answer.rows,
            answer.signature,
            refusal,
            self._status,
            answer.position,
        )

    def _avoid(self, cause: str) -> None:
        self._carriers.avoid(self._carrier, anyio.current_time(), cause)


@final
class RemoteDriver(LinkDriver):
    """Opens links through carriers.

    Args:
        carriers: Chooses the carrier of each endpoint.
    """

    def __init__(self, carriers: Carriers) -> None:
        self._carriers = carriers

    async def connect(self, entry: EndpointEntry, name: str) -> RemoteLink:
        """Open a link; the carrier verifies that its own leads to ``entry``.

        Args:
            entry: The endpoint.
            name: Name of the carrier, or of this process for any carrier.
        """
        carrier = self._carriers.resolve(entry, name, anyio.current_time())
        if carrier is None:
            raise EndpointError('no carrier available', was_sent=False)
        try:
            link = await dial(
                carrier.host,
                carrier.port,
                _DIAL_TIMEOUT_S,
                self._carriers.own_name,
            )
        except LinkClosedError as error:
            now = anyio.current_time()
            self._carriers.avoid(carrier, now, str(error))
            reason = 'carrier {0}: {1}'.format(carrier.name, error)
            raise EndpointError(reason, was_sent=False) from None
        return RemoteLink(link, entry, self._carriers, carrier)


def _find_timeout_s() -> float:
    """Return the time that the carrier gets for the statement."""
    left_s = anyio.current_effective_deadline() - anyio.current_time()
    return min(_MAX_TIMEOUT_S, max(_MIN_TIMEOUT_S, left_s - _REPLY_MARGIN_S))
