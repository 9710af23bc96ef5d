"""Begins callers' transactions on a leased connection."""

from typing import final

from catkincrank.acknowledger import Acknowledger
from catkincrank.leases import Lease, Leases
from catkincrank.primary import PrimaryFinder
from catkincrank.reading import Reader
from catkincrank.request import Access, Request
from catkincrank.requestkeys import MissingTableError, RequestKeys
from catkincrank.session import Session
from catkincrank.transactionstate import Transaction
from catkincrank.verdict import Reason, RequestError, Verdict
from catkincrank.writing import Writer, make_claim

__all__ = ('TransactionStarter',)

# A transaction's key is claimed before all of its statements are known, so it
# cannot be bound to their content.
_FINGERPRINT = 'transaction'


@final
class TransactionStarter:
    """Leases a connection for a transaction and claims its request key.

    Args:
        leases: Runs statements on leased connections.
        reader: Leases connections for read-only transactions.
        writer: Creates the request-key table.
        primaries: Leases connections for read-write transactions.
        acknowledger: Waits for acknowledgements.
    """

    __slots__ = (
        '_acknowledger',
        '_keys',
        '_leases',
        '_primaries',
        '_reader',
        '_writer',
    )

    def __init__(
        self,
        leases: Leases,
        reader: Reader,
        writer: Writer,
        primaries: PrimaryFinder,
        acknowledger: Acknowledger,
    ) -> None:
        self._leases = leases
        self._reader = reader
        self._writer = writer
        self._primaries = primaries
        self._acknowledger = acknowledger
        self._keys = RequestKeys(leases)

    async def start(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> Lease:
        """Lease a connection and begin the transaction on it."""
        if transaction.access is Access.READ:
            lease = await self._reader.lease(session, request, set())
        else:
            lease = await self._primaries.lease(request)
        transaction.lease = lease
        try:
            await self._begin_on(session, transaction, request)
        except MissingTableError:
            await self._leases.roll_back(lease)
            await self._writer.create_table(request)
            return await self.start(session, transaction, request)
        return lease

    async def _begin_on(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
    ) -> None:
        lease = transaction.lease
        if session.settings:
            await self._leases.apply(lease, session.settings)
        await self._leases.execute(lease, transaction.begin.text)
        if not request.options.request_key:
            return
        if transaction.access is Access.READ:
            return
        claim = make_claim(request, _FINGERPRINT)
        if await self._keys.claim(lease, claim) is not None:
            raise await self._make_repetition_error(transaction, request)
        transaction.claim = claim

    async def _make_repetition_error(
        self,
        transaction: Transaction,
        request: Request,
    ) -> RequestError:
        """Return the error of a repeated key once its commit is durable."""
        lease = transaction.lease
        mark = await self._leases.commit(lease)
        await self._leases.release(lease)
        await self._acknowledger.confirm(request, mark)
        return RequestError(
            Verdict.RAN,
            Reason.ALREADY_RAN,
            'the transaction with this request key has run',
        )
