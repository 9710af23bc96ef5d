"""Resolves commits whose answer was lost, by their request keys."""

from typing import final

from catkincrank.acknowledger import Acknowledger
from catkincrank.endpoint import StatementError
from catkincrank.errors import EndpointError
from catkincrank.history import LogMark
from catkincrank.leases import Lease, Leases
from catkincrank.primary import PrimaryFinder
from catkincrank.request import Request
from catkincrank.requestkeys import KeyClaim, RequestKeys
from catkincrank.retrier import Retrier
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('InDoubtResolver',)

_BEGIN = 'BEGIN'


@final
class InDoubtResolver:
    """Resolves keyed requests whose commit is in doubt.

    Args:
        leases: Leases connections.
        primaries: Leases connections to primaries.
        acknowledger: Waits for acknowledgements.
        retries: Retry budgets.
    """

    __slots__ = (
        '_acknowledger',
        '_keys',
        '_leases',
        '_primaries',
        '_retrier',
    )

    def __init__(
        self,
        leases: Leases,
        primaries: PrimaryFinder,
        acknowledger: Acknowledger,
        retrier: Retrier,
    ) -> None:
        self._leases = leases
        self._primaries = primaries
        self._acknowledger = acknowledger
        self._retrier = retrier
        self._keys = RequestKeys(leases)

    async def confirm_term(self, request: Request, lease: Lease) -> None:
        """Wait until no earlier attempt can reappear; clear the doubt then.

        While no majority stores the primary's term, the next failover may
        choose an instance without it, and with it bring back a commit of an
        older term.
        """
        status = await lease.connection.fetch_status()
        start = status.history.starts[-1]
        begun = LogMark(start.term, start.position)
        await self._acknowledger.confirm(request, begun)
        request.is_in_doubt = False

    async def resolve(self, request: Request, claim: KeyClaim) -> LogMark:
        """Return a mark of the commit if it happened and is durable.

        Raises:
            RequestError: It did not happen, or that could not be
                determined.
        """
        request.is_in_doubt = True
        attempt = 0
        while True:
            try:
                return await self._check_on_primary(request, claim)
            except (EndpointError, StatementError) as error:
                failure = _explain_in_doubt(error)
            except RequestError as error:
                if error.verdict is not Verdict.MAY_HAVE_RUN:
                    raise
                failure = error
            attempt += 1
            await self._retrier.pause(request, attempt, failure)

    async def _check_on_primary(
        self,
        request: Request,
        claim: KeyClaim,
    ) -> LogMark:
        lease = await self._primaries.lease(request)
        try:
            mark = await self._check_outcome(request, lease, claim)
        except (StatementError, RequestError):
            await self._leases.roll_back(lease)
            raise
        await self._leases.release(lease)
        await self._acknowledger.confirm(request, mark)
        return mark

    async def _check_outcome(
        self,
        request: Request,
        lease: Lease,
        claim: KeyClaim,
    ) -> LogMark:
        """Claim the key: it is held if the earlier attempt committed.

        The claim waits for an attempt that is still under way.
        """
        await self._leases.execute(lease, _BEGIN)
        if await self._keys.claim(lease, claim) is None:
            await self.confirm_term(request, lease)
            raise RequestError(
                Verdict.NOT_RUN,
                Reason.CONNECTION_LOST,
                'the transaction was lost with its connection',
                retry_after_s=0,
            )
        mark = await self._leases.commit(lease)
        if mark is None:
            raise EndpointError('the primary was replaced', was_sent=True)
        return mark


def _explain_in_doubt(error: Exception) -> RequestError:
    return RequestError(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        'the answer to the commit was lost: {0}'.format(error),
    )
