"""Messages between VMs and the owners of shards, encoded by ``envelope``."""

import math
from dataclasses import dataclass
from typing import Final, final

from catkincrank.envelope import register_message
from catkincrank.errors import MessageError

__all__ = (
    'MAX_WANTED',
    'TOKEN_LIFETIME_S',
    'GrantedTokens',
    'TokenGrant',
    'TokenRequest',
    'WantedTokens',
    'check_grant',
    'check_request',
)

# A token that arrives later than this after it was requested is not used, so
# that tokens of a frozen VM do not add to those of a later window.
TOKEN_LIFETIME_S: Final = 0.5
# Organisations in a message; about 50 bytes each, and a frame holds 1 MiB.
MAX_WANTED: Final = 4000
_MAX_RETRY_S = 60.0


@final
@dataclass(frozen=True, slots=True)
class WantedTokens:
    """Operations of one organisation that wait for tokens.

    Attributes:
        organisation: Name of the organisation.
        count: Number of operations.
    """

    organisation: str
    count: int


@register_message('tokenRequest')
@final
@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks the owner of shards for tokens.

    Attributes:
        name: Name of the VM.
        wanted: Tokens by organisation.
    """

    name: str
    wanted: tuple[WantedTokens, ...]


@final
@dataclass(frozen=True, slots=True)
class GrantedTokens:
    """Tokens of one organisation, which the sender has taken from its shards.

    Attributes:
        organisation: Name of the organisation.
        count: Operations that may be admitted.
        retry_after_s: Time until there may be more tokens, in seconds.
        is_exhausted: Whether much more is requested than the limit admits.
        is_declined: Whether the sender may not issue tokens now.
    """

    organisation: str
    count: int = 0
    retry_after_s: float = 0
    is_exhausted: bool = False
    is_declined: bool = False


@register_message('tokenGrant')
@final
@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Answer to a ``TokenRequest``.

    Attributes:
        granted: Tokens, in the order of the request.
    """

    granted: tuple[GrantedTokens, ...]


def check_request(request: TokenRequest) -> None:
    """Verify the ranges of a request's fields.

    Raises:
        MessageError: A field is out of range.
    """
    if len(request.wanted) > MAX_WANTED:
        raise MessageError('token request with too many organisations')
    if not request.name:
        raise MessageError('token request without a sender')


def check_grant(grant: TokenGrant, request: TokenRequest) -> None:
    """Verify that a grant answers a request.

    Raises:
        MessageError: It lists something else, or a field is out of range.
    """
    if len(grant.granted) != len(request.wanted):
        raise MessageError('token grant for another request')
    for wanted, granted in zip(request.wanted, grant.granted, strict=True):
        is_same = wanted.organisation == granted.organisation
        if not is_same or granted.count > wanted.count:
            raise MessageError('token grant for other organisations')
        _check_retry(granted.retry_after_s)


def _check_retry(retry_after_s: float) -> None:
    is_finite = math.isfinite(retry_after_s)
    if not (is_finite and 0 <= retry_after_s <= _MAX_RETRY_S):
        raise MessageError('time out of range: {0}'.format(retry_after_s))
