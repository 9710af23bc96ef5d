"""Runs statements of other processes on this process's links."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import final

import anyio

from catkincrank.endpoint import TransactionStatus
from catkincrank.errors import CatkincrankError, EndpointError
from catkincrank.gateway.carriermessages import (
    CarryReply,
    CarryRequest,
    Destination,
)
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import EndpointLink
from catkincrank.gateway.linkpools import BorrowedLink, LinkPools, LinkRequest
from catkincrank.gateway.reply import Reply
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.gateway.statement import Kind, Statement
from catkincrank.metrics import Metrics
from catkincrank.verdict import RequestError

__all__ = ('CarrierService', 'CarrierDeclinedError', 'CarriedSession')


@final
class CarrierDeclinedError(CatkincrankError):
    """This process declines a statement; another carrier may accept it."""


@final
class CarrierService:
    """Lends this process's links to statements sent by other processes.

    Args:
        groups: Evidence about the groups and their endpoints.
        pools: Links to the endpoints.
        metrics: Metrics of the process.

    Attributes:
        active_sessions: Sessions that wait for or hold a link.
        is_leaving: Whether the process drains and declines new statements.
    """

    __slots__ = (
        '_groups',
        '_pools',
        '_statements',
        'active_sessions',
        'is_leaving',
    )

    def __init__(
        self,
        groups: Groups,
        pools: LinkPools,
        metrics: Metrics,
    ) -> None:
        self._groups = groups
        self._pools = pools
        self.active_sessions: set[CarriedSession] = set()
        self.is_leaving = False
        self._statements = metrics.counter(
            'carried_statements',
            'Statements for callers of other processes, by outcome.',
            ('outcome',),
        )

    def open(self) -> 'CarriedSession':
        """Return the handler of one connection from another process."""
        return CarriedSession(self)

    def find(self, destination: Destination) -> EndpointEntry:
        """Return the registered endpoint of exactly this incarnation.

        Raises:
            CarrierDeclinedError: It is not registered in this process.
        """
        entry = self._groups.find_linked(destination.endpoint)
        if entry is not None and Destination.of_entry(entry) == destination:
            return entry
        raise CarrierDeclinedError('unknown endpoint')

    def count(self, answer: CarryReply) -> None:
        """Count a statement by its outcome."""
        self._statements.labels(_outcome_label(answer)).inc()

    async def borrow(
        self,
        entry: EndpointEntry,
        request: CarryRequest,
    ) -> BorrowedLink:
        """Return a link for a statement.

        Raises:
            CarrierDeclinedError: This process is draining.
            EndpointError: No link can be opened; nothing ran.
            RequestError: The queue is full.
        """
        if self.is_leaving:
            raise CarrierDeclinedError('this process is draining')
        link_request = LinkRequest(
            request.route,
            request.priority,
            anyio.current_time() + request.limit_s,
            request.organisation,
        )
        return await self._pools.borrow(entry, link_request)


@final
class CarriedSession:
    """Serves one connection; holds a link while a transaction is open.

    Args:
        carrier_service: Lends links.
    """

    __slots__ = ('_borrowed', '_carrier_service', '_entry')

    def __init__(self, carrier_service: CarrierService) -> None:
        self._carrier_service = carrier_service
        self._borrowed: BorrowedLink | None = None
        self._entry: EndpointEntry | None = None

    async def answer(self, request: CarryRequest) -> CarryReply:
        """Run a statement; a failure tells whether it may have run."""
        answer = await self._answer(request)
        self._carrier_service.count(answer)
        return answer

    def close(self) -> None:
        """Close the held link, which rolls back an open transaction."""
        self._carrier_service.active_sessions.discard(self)
        if self._borrowed is not None:
            self._borrowed.discard(is_lost=True)
            self._borrowed = None

    async def _answer(self, request: CarryRequest) -> CarryReply:
        self._carrier_service.active_sessions.add(self)
        was_sent = False
        try:
            with anyio.move_on_after(request.limit_s):
                borrowed = await self._acquire(request)
                await _apply_session(borrowed.link, request)
                was_sent = True
                reply = await _perform(borrowed.link, request)
                self._release(reply)
                return _encode(reply)
        except (CarrierDeclinedError, RequestError) as refusal:
            self.close()
            is_full = isinstance(refusal, RequestError)
            return CarryReply(
                error=str(refusal),
                is_full=is_full,
                is_declined=not is_full,
            )
        except EndpointError as error:
            self.close()
            may_have_run = was_sent and error.was_sent
            return CarryReply(error=str(error), was_sent=may_have_run)
        except BaseException:
            self.close()
            raise
        self.close()
        return CarryReply(error='no answer in time', was_sent=was_sent)

    async def _acquire(self, request: CarryRequest) -> BorrowedLink:
        if self._borrowed is None:
            if request.action == Kind.ROLLBACK.value:
                raise EndpointError('no transaction is open', was_sent=False)
            if request.destination is not None:
                self._entry = self._carrier_service.find(request.destination)
            if self._entry is None:
                raise EndpointError('no destination', was_sent=False)
            self._borrowed = await self._carrier_service.borrow(
                self._entry, request
            )
        _require_organisation(self._borrowed, request)
        self._borrowed.unpark()
        return self._borrowed

    def _release(self, reply: Reply) -> None:
        """Return the link unless a transaction is open on it."""
        if reply.status is not TransactionStatus.IDLE:
            self._borrowed.park()
            return
        self._borrowed.give_back()
        self._borrowed = None
        self._carrier_service.active_sessions.discard(self)


def _require_organisation(
    borrowed: BorrowedLink, request: CarryRequest
) -> None:
    """Check that a statement runs on a link of its organisation.

    Raises:
        EndpointError: It does not, for example because a later statement of a
            transaction names another organisation; nothing ran.
    """
    is_named = request.organised is None or request.organisation
    if borrowed.login != request.organisation or not is_named:
        raise EndpointError('link of another organisation', was_sent=False)


async def _apply_session(link: EndpointLink, request: CarryRequest) -> None:
    values = {one.name: one.content for one in request.values}
    if not await link.apply_session(values, request.wanted):
        raise EndpointError(
            'endpoint refused the session state', was_sent=False
        )


async def _perform(link: EndpointLink, request: CarryRequest) -> Reply:
    perform = _ACTIONS.get(request.action)
    if perform is None:
        reason = 'unknown action {0}'.format(request.action)
        raise EndpointError(reason, was_sent=False)
    return await perform(link, request)


async def _run(
    kind: Kind,
    link: EndpointLink,
    request: CarryRequest,
) -> Reply:
    statement = Statement(kind, request.request_id, request.text)
    return await link.run(statement, request.after)


async def _execute(link: EndpointLink, request: CarryRequest) -> Reply:
    statement = Statement(
        Kind.EXECUTE,
        request.request_id,
        b'',
        operand=request.text,
    )
    alias = link.prepared.get(request.wanted, b'')
    return await link.run(statement, request.after, alias)


async def _begin(
    link: EndpointLink,
    request: CarryRequest,
    *,
    is_read_only: bool = False,
) -> Reply:
    return await link.begin(is_read_only=is_read_only, after=request.after)


async def _roll_back(link: EndpointLink, _request: CarryRequest) -> Reply:
    return await link.roll_back()


_Action = Callable[[EndpointLink, CarryRequest], Awaitable[Reply]]
_ACTIONS: dict[str, _Action] = {  # noqa: WPS407
    Kind.READ.value: partial(_run, Kind.READ),
    Kind.WRITE.value: partial(_run, Kind.WRITE),
    Kind.COMMIT.value: partial(_run, Kind.COMMIT),
    Kind.EXECUTE.value: _execute,
    Kind.BEGIN.value: _begin,
    Kind.BEGIN_READ.value: partial(_begin, is_read_only=True),
    Kind.ROLLBACK.value: _roll_back,
}


def _encode(reply: Reply) -> CarryReply:
    refusal = reply.refusal
    return CarryReply(
        reply.rows,
        reply.signature,
        refusal.failure.name if refusal else '',
        refusal.detail if refusal else b'',
        reply.status.value,
        reply.position,
    )


def _outcome_label(answer: CarryReply) -> str:
    """Return the outcome label of a statement, for the metric."""
    if not answer.error:
        return answer.failure.lower() or 'done'
    if answer.is_full:
        return 'full'
    if answer.is_declined:
        return 'declined'
    return 'in_doubt' if answer.was_sent else 'not_run'
