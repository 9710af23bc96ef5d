"""Requests promotions of endpoints from the platform."""

from typing import final

import msgspec

from catkincrank.gateway.promoter import Promoter, PromotionError, promoters
from catkincrank.httpclient import HttpClient, HttpError

__all__ = ('PlatformPromoter',)

_OK = 200
_CONFLICT = 409
# A promotion takes up to a second, and the response may follow later.
_TIMEOUT_S = 2.5


@promoters.register('platform')
@final
class PlatformPromoter(Promoter):
    """Client of the platform's promotion interface.

    Args:
        address: The interface, as ``HOST:PORT``.
        holder: Name of this process.
    """

    def __init__(self, address: str, holder: str) -> None:
        self._client = HttpClient('http://{0}'.format(address), _TIMEOUT_S)
        self._holder = holder

    async def promote(self, service: str, endpoint_id: str, token: int) -> None:
        """Make an endpoint the primary."""
        try:
            answer = await self._client.request(
                'POST',
                '/promote',
                msgspec.json.encode({'service': service, 'id': endpoint_id}),
                {
                    'content-type': 'application/json',
                    # The fencing token is the version of the lease's row.
                    'Duty-Holder': self._holder,
                    'Fencing-Token': str(token),
                },
            )
        except HttpError as error:
            raise PromotionError(
                str(error),
                may_have_applied=error.was_sent,
            ) from None
        if answer.status != _OK:
            raise PromotionError(
                'the promotion request got status {0}'.format(answer.status),
                may_have_applied=False,
                is_refused=answer.status == _CONFLICT,
            )
