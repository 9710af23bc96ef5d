"""Divides an instance's connections between proxies.

Each proxy has a guaranteed share that it may use at any time. The rest is lent
for a limited time by one keeper, the granter. The granter is the keeper that
holds the lock for grants on the instance, through an open connection. A grant
starts when the proxy sends its request, by the proxy's own clock. The granter
makes it only after it has verified that it still held the lock after the
request arrived. A new granter waits until all grants that an earlier one can
have made have expired.
"""

from dataclasses import dataclass, replace
from typing import TypeAlias, final

from catkincrank.settings import Limits

__all__ = (
    'ShareGrant',
    'ShareAction',
    'ShareGranter',
    'ShareHolder',
    'ShareRequest',
    'ShareRules',
    'TerminateConnections',
)

_LEASE_DURATION_S = 6
_MAX_DRIFT_RATIO = 0.01
_RETURN_MARGIN_S = 1
_GUARANTEED_DIVISOR = 2
_NEVER = float('-inf')


@final
@dataclass(frozen=True, slots=True)
class ShareRules:
    """Division of the connections of one instance.

    Attributes:
        guaranteed: Connections that each proxy may always use.
        lendable: Connections that are lent for a limited time.
        lease_s: Duration of a grant.
    """

    guaranteed: int
    lendable: int
    lease_s: float = _LEASE_DURATION_S

    @classmethod
    def from_limits(cls, limits: Limits) -> 'ShareRules':
        """Return the division for the limits of a service.

        At most half of the connections are guaranteed, the same number to each
        proxy; or one to each where half of them is too few for that.
        The connections of the keepers are in neither number. With fewer
        connections than proxies none is guaranteed and all are lent.
        """
        usable = max(0, limits.connections - limits.control_connections)
        guaranteed = usable // (_GUARANTEED_DIVISOR * limits.proxies)
        if not guaranteed and usable >= limits.proxies:
            guaranteed = 1
        return cls(guaranteed, usable - guaranteed * limits.proxies)


@final
@dataclass(frozen=True, slots=True)
class ShareRequest:
    """Request of a proxy to borrow, renew or return connections.

    Attributes:
        proxy: Name of the process.
        wanted: Lent connections that it could use.
        held: Lent connections that it may hold until the next grant.
        stamp: When it sent the request, by its own clock.
    """

    proxy: str
    wanted: int
    held: int
    stamp: float


@final
@dataclass(frozen=True, slots=True)
class ShareGrant:
    """Response to a ``ShareRequest``.

    Attributes:
        count: Connections lent.
        lease_s: Duration of the grant, from ``stamp`` on.
        stamp: Stamp of the request.
    """

    count: int
    lease_s: float
    stamp: float


@final
@dataclass(frozen=True, slots=True)
class TerminateConnections:
    """Terminate the lent connections that a proxy still holds."""

    proxy: str


ShareAction: TypeAlias = ShareGrant | TerminateConnections


@final
class ShareHolder:
    """Share of one proxy at one instance, as the proxy sees it.

    Args:
        proxy: Name of the process.
        rules: Division of the connections.
    """

    __slots__ = ('_grant', '_proxy', '_rules')

    def __init__(self, proxy: str, rules: ShareRules) -> None:
        self._proxy = proxy
        self._rules = rules
        self._grant = ShareGrant(0, 0, _NEVER)

    @property
    def expires_at(self) -> float:
        """Time by which the lent connections must be closed, in seconds."""
        return self._grant.stamp + self._grant.lease_s * (1 - _MAX_DRIFT_RATIO)

    def make_request(self, needed: int, held: int, now: float) -> ShareRequest:
        """Return a request; connections no longer wanted are returned now.

        Args:
            needed: Connections that the pending requests could use.
            held: Connections that are open.
            now: Current time in seconds.
        """
        own = self._rules.guaranteed
        wanted = max(0, needed - own)
        in_use = max(0, held - own)
        if now >= self.expires_at:
            self._grant = replace(self._grant, count=0)
        kept = min(self._grant.count, max(wanted, in_use))
        self._grant = replace(self._grant, count=kept)
        return ShareRequest(self._proxy, wanted, max(kept, in_use), now)

    def apply_grant(self, grant: ShareGrant) -> None:
        """Apply a grant unless it answers an older request."""
        if grant.stamp >= self._grant.stamp:
            self._grant = grant

    def limit(self, now: float) -> int:
        """Return the most connections that may be open.

        The limit falls shortly before the grant expires, so that statements
        on lent connections can finish.
        """
        if now >= self.expires_at - _RETURN_MARGIN_S:
            return self._rules.guaranteed
        return self._rules.guaranteed + self._grant.count

    def must_close(self, now: float) -> bool:
        """Whether connections above the guaranteed share must be closed."""
        return now >= self.expires_at


@final
@dataclass(frozen=True, slots=True)
class _Loan:
    """Connections lent to one proxy.

    Attributes:
        count: Number of connections that it may hold.
        expires_at: Latest time at which the last grant for them expires.
        wanted: Connections that its last request asked for.
        stamp: Stamp of that request.
    """

    count: int = 0
    expires_at: float = 0
    wanted: int = 0
    stamp: float = 0


@final
class ShareGranter:
    """Lends the connections of one instance.

    Args:
        rules: Division of the connections.
        locked_at: When the lock for grants was acquired, in seconds.
    """

    __slots__ = ('_loans', '_ready_at', '_rules')

    def __init__(self, rules: ShareRules, locked_at: float) -> None:
        self._rules = rules
        self._ready_at = locked_at + rules.lease_s * (1 + _MAX_DRIFT_RATIO)
        self._loans: dict[str, _Loan] = {}

    @property
    def lent(self) -> int:
        """Number of lent connections that proxies may hold."""
        return sum(loan.count for loan in self._loans.values())

    def answer(
        self,
        request: ShareRequest,
        locked_at: float,
        received_at: float,
    ) -> ShareGrant:
        """Return the grant for a request.

        Args:
            request: The request of a proxy.
            locked_at: Time at which the lock is known to be held, in seconds;
                not later than the start of the check that showed it.
            received_at: When the request arrived, in seconds.
        """
        loan = self._loans.get(request.proxy, _Loan())
        if request.stamp < loan.stamp:
            return ShareGrant(0, 0, request.stamp)
        count = 0
        if locked_at >= max(received_at, self._ready_at):
            count = self._compute_count(request)
        expires_at = locked_at + self._rules.lease_s * (1 + _MAX_DRIFT_RATIO)
        self._loans[request.proxy] = _Loan(
            max(count, request.held),
            max(loan.expires_at, expires_at),
            request.wanted,
            request.stamp,
        )
        return ShareGrant(count, self._rules.lease_s, request.stamp)

    def expire(self, now: float) -> list[TerminateConnections]:
        """Return the proxies with connections held past their grant.

        The connections are lent again after ``record_termination``.
        """
        expired = {
            proxy: loan
            for proxy, loan in self._loans.items()
            if now >= loan.expires_at
        }
        for proxy, loan in expired.items():
            if not loan.count:
                self._loans.pop(proxy)
        return [
            TerminateConnections(name)
            for name in expired
            if expired[name].count
        ]

    def record_termination(self, proxy: str, now: float) -> None:
        """Record that the instance terminated the loans of ``proxy``."""
        loan = self._loans.get(proxy)
        if loan is not None and now >= loan.expires_at:
            self._loans.pop(proxy)

    def _compute_count(self, request: ShareRequest) -> int:
        """Return the fair share, limited by what is not lent to others."""
        loan = self._loans.get(request.proxy, _Loan())
        others = self.lent - loan.count
        free = max(0, self._rules.lendable - others)
        return min(request.wanted, free, self._find_fair_share(request))

    def _find_fair_share(self, request: ShareRequest) -> int:
        """Return the max-min fair share of the proxy."""
        demands = {proxy: loan.wanted for proxy, loan in self._loans.items()}
        demands[request.proxy] = request.wanted
        remaining = self._rules.lendable
        for index, wanted in enumerate(sorted(demands.values())):
            fair = -(-remaining // (len(demands) - index))
            if wanted >= request.wanted or wanted > fair:
                return min(request.wanted, fair)
            remaining -= wanted
        return 0
