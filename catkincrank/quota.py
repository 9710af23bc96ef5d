"""Divides an instance's connections between proxies.

Each proxy has a guaranteed share that it may use whoever else is alive. The
rest is lent for a time by one keeper, the granter. The instance itself says
who that is: the granter holds the instance's lock for grants on an open
connection. A grant counts from the moment the proxy asked, on the proxy's own
clock, and the granter has seen its lock held after that moment. A new granter
waits until every grant that an earlier one can have made is over.
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
    'TerminateHolder',
)

_LEASE_S = 6
_DRIFT = 0.01
_RETURN_MARGIN_S = 1
_LENT_PART = 2
_NEVER = float('-inf')


@final
@dataclass(frozen=True, slots=True)
class ShareRules:
    """How many connections of one instance are for what.

    Attributes:
        guaranteed: Connections that each proxy may always use.
        lendable: Connections that are lent for a time.
        lease_s: How long a grant lasts.
    """

    guaranteed: int
    lendable: int
    lease_s: float = _LEASE_S

    @classmethod
    def from_limits(cls, limits: Limits) -> 'ShareRules':
        """Return the division that a service's limits ask for.

        The keepers' part is in neither number. Where there are fewer
        connections than proxies nothing can be guaranteed, and all are lent.
        """
        usable = max(0, limits.connections - limits.control_connections)
        guaranteed = usable // (_LENT_PART * limits.proxies)
        if not guaranteed and usable >= limits.proxies:
            guaranteed = 1
        return cls(guaranteed, usable - guaranteed * limits.proxies)


@final
@dataclass(frozen=True, slots=True)
class ShareRequest:
    """A proxy asks for lent connections; also renews and gives back.

    Attributes:
        proxy: Name of the process.
        wanted: Lent connections that it could use.
        held: Lent connections that it may hold until it hears again.
        stamp: When it asked, on its own clock.
    """

    proxy: str
    wanted: int
    held: int
    stamp: float


@final
@dataclass(frozen=True, slots=True)
class ShareGrant:
    """The answer to a ``ShareRequest``.

    Attributes:
        count: Connections lent.
        lease_s: How long, from ``stamp`` on.
        stamp: The request's stamp.
    """

    count: int
    lease_s: float
    stamp: float


@final
@dataclass(frozen=True, slots=True)
class TerminateHolder:
    """End what a proxy still holds of its lent connections."""

    proxy: str


ShareAction: TypeAlias = ShareGrant | TerminateHolder


@final
class ShareHolder:
    """A proxy's view of its share at one instance.

    Args:
        proxy: Name of the process.
        rules: How connections are divided.
    """

    __slots__ = ('_grant', '_proxy', '_rules')

    def __init__(self, proxy: str, rules: ShareRules) -> None:
        self._proxy = proxy
        self._rules = rules
        self._grant = ShareGrant(0, 0, _NEVER)

    @property
    def expires_at(self) -> float:
        """When the lent connections must be closed, in seconds."""
        return self._grant.stamp + self._grant.lease_s * (1 - _DRIFT)

    def make_request(self, needed: int, held: int, now: float) -> ShareRequest:
        """Return a request; what is not wanted any more is given up at once.

        Args:
            needed: Connections that the requests there could use.
            held: Connections open now.
            now: The time in seconds.
        """
        own = self._rules.guaranteed
        wanted = max(0, needed - own)
        in_use = max(0, held - own)
        if now >= self.expires_at:
            self._grant = replace(self._grant, count=0)
        kept = min(self._grant.count, max(wanted, in_use))
        self._grant = replace(self._grant, count=kept)
        return ShareRequest(self._proxy, wanted, max(kept, in_use), now)

    def learn(self, grant: ShareGrant) -> None:
        """Take in an answer; an answer to an older request is ignored."""
        if grant.stamp >= self._grant.stamp:
            self._grant = grant

    def limit(self, now: float) -> int:
        """Return how many connections may be open.

        It falls a while before the grant ends, so that what is in use then
        can finish.
        """
        if now >= self.expires_at - _RETURN_MARGIN_S:
            return self._rules.guaranteed
        return self._rules.guaranteed + self._grant.count

    def must_close(self, now: float) -> bool:
        """Whether connections above the guaranteed share must end now."""
        return now >= self.expires_at


@final
@dataclass(frozen=True, slots=True)
class _Loan:
    """Connections that a proxy may hold.

    Attributes:
        count: How many.
        until: When the last grant that allowed them ends, at the latest.
        wanted: How many the proxy asked for last.
        stamp: Stamp of that request.
    """

    count: int = 0
    until: float = 0
    wanted: int = 0
    stamp: float = 0


@final
class ShareGranter:
    """Lends connections of one instance.

    Args:
        rules: How connections are divided.
        locked_at: When the lock for grants was taken, in seconds.
    """

    __slots__ = ('_loans', '_ready_at', '_rules')

    def __init__(self, rules: ShareRules, locked_at: float) -> None:
        self._rules = rules
        self._ready_at = locked_at + rules.lease_s * (1 + _DRIFT)
        self._loans: dict[str, _Loan] = {}

    @property
    def lent(self) -> int:
        """Connections that proxies may hold beyond their guaranteed ones."""
        return sum(loan.count for loan in self._loans.values())

    def answer(
        self,
        request: ShareRequest,
        locked_at: float,
        received_at: float,
    ) -> ShareGrant:
        """Return the answer to a proxy.

        Args:
            request: What it asks.
            locked_at: When the lock was last seen held; the sample began
                no earlier than this.
            asked_at: When the request came in.
        """
        known = self._loans.get(request.proxy, _Loan())
        if request.stamp < known.stamp:
            return ShareGrant(0, 0, request.stamp)
        count = 0
        if locked_at >= max(received_at, self._ready_at):
            count = self._decide(request)
        until = locked_at + self._rules.lease_s * (1 + _DRIFT)
        self._loans[request.proxy] = _Loan(
            max(count, request.held),
            max(known.until, until),
            request.wanted,
            request.stamp,
        )
        return ShareGrant(count, self._rules.lease_s, request.stamp)

    def expire(self, now: float) -> list[TerminateHolder]:
        """Return whose connections to end, since their grant is over.

        Their places are lent again after ``note_terminated``.
        """
        over = {
            proxy: loan
            for proxy, loan in self._loans.items()
            if now >= loan.until
        }
        for proxy, loan in over.items():
            if not loan.count:
                self._loans.pop(proxy)
        return [TerminateHolder(name) for name in over if over[name].count]

    def note_terminated(self, proxy: str, now: float) -> None:
        """Take in that the instance ended what ``proxy`` still held."""
        loan = self._loans.get(proxy)
        if loan is not None and now >= loan.until:
            self._loans.pop(proxy)

    def _decide(self, request: ShareRequest) -> int:
        """Return a fair part of what is free now or held already."""
        known = self._loans.get(request.proxy, _Loan())
        others = self.lent - known.count
        free = max(0, self._rules.lendable - others)
        return min(request.wanted, free, self._find_fair_share(request))

    def _find_fair_share(self, request: ShareRequest) -> int:
        """Return the part that a max-min fair division gives the proxy."""
        wants = {proxy: loan.wanted for proxy, loan in self._loans.items()}
        wants[request.proxy] = request.wanted
        left = self._rules.lendable
        for index, wanted in enumerate(sorted(wants.values())):
            fair = -(-left // (len(wants) - index))
            if wanted >= request.wanted or wanted > fair:
                return min(request.wanted, fair)
            left -= wanted
        return 0
