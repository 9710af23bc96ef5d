"""Issues tokens for operations from the shards that this VM owns."""

import math
from collections.abc import Mapping
from typing import final

from catkincrank.gateway.catalog import Organisation
from catkincrank.gateway.organisations.bucket import TokenBucket
from catkincrank.gateway.organisations.shardrecords import SHARDS, find_group
from catkincrank.gateway.organisations.shardstate import ShardState
from catkincrank.gateway.organisations.tokenmessages import GrantedTokens

__all__ = ('TokenIssuer',)

# A shard for few operations admits one more at once, as a bucket for less than
# one would admit none. All shards together exceed the burst by 8 of the 20
# operations that the rules tolerate.
_EXTRA_CAPACITY = 1.0
# Tokens of a shard after a restart of its owner, so that small limits admit
# operations soon after it. Three restarts of all owners in a window of 5 s add
# 12 operations.
_FIRST_TOKENS = 0.5
_MIN_RETRY_S = 0.02
_MAX_RETRY_S = 1.0
# A limit is used up if the tokens requested recently exceed those that accrue
# by this factor, and a burst.
_EXHAUSTED_FACTOR = 1.5
_DEMAND_PERIOD_S = 1.5


@final
class _Account:
    """Tokens and demand of one organisation.

    Args:
        since: Since when no other process has used the shards, in seconds.
        owned: Number of the owned shards.
        now: Current time in seconds.

    Attributes:
        bucket: Tokens that accrue from these shards.
    """

    __slots__ = ('_demand', '_demand_at', 'bucket', 'owned', 'since')

    def __init__(self, since: float, owned: int, now: float) -> None:
        self.since = since
        self.owned = owned
        self.bucket = TokenBucket(since)
        self._demand: float = 0
        self._demand_at = now

    def count(self, wanted: int, now: float) -> None:
        """Count requested tokens."""
        elapsed_s = max(0, now - self._demand_at)
        self._demand *= math.exp(-elapsed_s / _DEMAND_PERIOD_S)
        self._demand += wanted
        self._demand_at = now

    @property
    def is_exhausted(self) -> bool:
        """Whether far more operations come than the whole limit admits.

        An operation that finds no token asks the owners of all shards.
        """
        most = _EXHAUSTED_FACTOR * _DEMAND_PERIOD_S * self.bucket.rate
        most += self.bucket.capacity
        return self._demand > most * SHARDS / self.owned


@final
class TokenIssuer:
    """Issues tokens while this process owns shards.

    Args:
        shards: State of the shards.
    """

    __slots__ = ('_accounts', '_limits', '_shards')

    def __init__(self, shards: ShardState) -> None:
        self._shards = shards
        self._limits: Mapping[str, Organisation] = {}
        self._accounts: dict[str, _Account] = {}

    def apply_limits(
        self, limits: Mapping[str, Organisation], now: float
    ) -> None:
        """Apply the limits of a configuration immediately.

        A limit that is removed and added again is that of the same callers, so
        its tokens are kept.
        """
        self._limits = limits
        for name in self._accounts.keys() & limits.keys():
            _shape(self._accounts[name], limits[name], now)

    def issue(
        self, organisation: str, wanted: int, now: float
    ) -> GrantedTokens:
        """Return tokens, unless this process may not issue any."""
        group = find_group(organisation)
        owned = self._shards.count_usable(group, now)
        if not owned or organisation not in self._limits:
            return GrantedTokens(organisation, is_declined=True)
        account = self._find_account(organisation, group, owned, now)
        account.count(wanted, now)
        bucket = account.bucket
        count = bucket.take(now, wanted)
        if count == wanted:
            return GrantedTokens(organisation, count)
        wait_s = _MAX_RETRY_S
        if bucket.rate > 0:
            wait_s = (1 - bucket.tokens) / bucket.rate
        return GrantedTokens(
            organisation,
            count,
            min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s)),
            account.is_exhausted,
        )

    def describe(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {'organisations': len(self._accounts)}

    def _find_account(
        self, organisation: str, group: int, owned: int, now: float
    ) -> _Account:
        limit = self._limits[organisation]
        account = self._accounts.get(organisation)
        since = self._shards.find_owned_since(group, now)
        if account is None or account.since != since:
            account = _Account(since, owned, now)
            # Shaped at the time from which the tokens accrue.
            _shape(account, limit, since)
            if limit.rate_per_s > 0:
                account.bucket.tokens = owned * _FIRST_TOKENS
            self._accounts[organisation] = account
        elif account.owned != owned:
            account.owned = owned
            _shape(account, limit, now)
        return account


def _shape(account: _Account, limit: Organisation, now: float) -> None:
    """Derive rate and capacity from the limit and the owned shards."""
    part = account.owned / SHARDS
    capacity = part * limit.burst
    if limit.rate_per_s > 0:
        capacity += account.owned * _EXTRA_CAPACITY
    account.bucket.reshape(part * limit.rate_per_s, capacity, now)
