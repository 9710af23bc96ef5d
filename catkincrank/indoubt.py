"""Finds out what became of a commit whose answer was lost, by its key."""

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
    """Resolves doubts about keyed requests.

    Args:
        leases: Connections.
        primaries: Leases connections to primaries.
        acknowledger: Waits for acknowledgements.
        retries: Retry budgets.
    """

    __slots__ = (
        '_acknowledger',
        '_keys',
        '_leases',
        '_primaries',
        '_retries',
    )

    def __init__(
        self,
        leases: Leases,
        primaries: PrimaryFinder,
        acknowledger: Acknowledger,
        retries: Retrier,
    ) -> None:
        self._leases = leases
        self._primaries = primaries
        self._acknowledger = acknowledger
        self._retries = retries
        self._keys = RequestKeys(leases)

    async def confirm_term(self, request: Request, lease: Lease) -> None:
        """Clear the doubt once no earlier attempt can come back.

        A primary whose term no majority stores yet may be passed over by the
        next failover, which may then bring back an older term's commit.
        """
        status = await lease.connection.fetch_status()
        start = status.history.starts[-1]
        begun = LogMark(start.term, start.position)
        await self._acknowledger.confirm(request, begun)
        request.is_in_doubt = False

    async def resolve(self, request: Request, claim: KeyClaim) -> LogMark:
        """Return a mark of the commit, if it happened and will last.

        Raises:
            RequestError: It did not happen, or it cannot be found out.
        """
        request.is_in_doubt = True
        attempt = 0
        while True:
            try:
                return await self._ask(request, claim)
            except (EndpointError, StatementError) as error:
                failure = _explain_doubt(error)
            except RequestError as error:
                if error.verdict is not Verdict.MAY_HAVE_RUN:
                    raise
                failure = error
            attempt += 1
            await self._retries.pause(request, attempt, failure)

    async def _ask(self, request: Request, claim: KeyClaim) -> LogMark:
        lease = await self._primaries.lease(request)
        try:
            mark = await self._ask_on(request, lease, claim)
        except (StatementError, RequestError):
            await self._leases.roll_back(lease)
            raise
        await self._leases.release(lease)
        await self._acknowledger.confirm(request, mark)
        return mark

    async def _ask_on(
        self,
        request: Request,
        lease: Lease,
        claim: KeyClaim,
    ) -> LogMark:
        """Claim the key: who holds it has committed, or is waited for."""
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


def _explain_doubt(error: Exception) -> RequestError:
    return RequestError(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        'the answer to the commit was lost: {0}'.format(error),
    )
