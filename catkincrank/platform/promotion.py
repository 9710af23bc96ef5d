"""Asks the platform to make an endpoint the primary of its service."""

from typing import final

import msgspec

from catkincrank.gateway.promoter import Promoter, PromotionError, promoters
from catkincrank.httpclient import HttpClient, HttpError

__all__ = ('PlatformPromoter',)

_OK = 200
_CONFLICT = 409
# A promotion takes up to a second; the answer may come after it.
_TIMEOUT_S = 2.5


@promoters.register('platform')
@final
class PlatformPromoter(Promoter):
    """Calls the platform's interface for promotions.

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
                    # The platform calls the version of the claim a fence.
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
                'status {0}'.format(answer.status),
                may_have_applied=False,
                is_refused=answer.status == _CONFLICT,
            )
