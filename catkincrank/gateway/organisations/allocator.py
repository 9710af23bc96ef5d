"""Divides the organisations' limits among VMs, in one process of the fleet."""

import math
from collections.abc import Collection, Mapping
from typing import Final, TypeAlias, final

from catkincrank.gateway.catalog import Organisation
from catkincrank.gateway.organisations.bucket import TokenBucket
from catkincrank.gateway.organisations.quotamessages import (
    SHARE_LIFETIME_S,
    TOKEN_LIFETIME_S,
    OrganisationShare,
    OrganisationUse,
    QuotaAllocation,
    QuotaReport,
)
from catkincrank.gateway.organisations.shareholder import (
    DEMAND_PERIOD_S,
    DIVIDED,
    find_capacity,
)

__all__ = ('ANSWER_LIMIT_S', 'READING_LIMIT_S', 'QuotaAllocator')

# A holder answers for this long after it sent the last heartbeat that the store
# confirmed. Its successor answers nobody for as long, so that the two never
# allocate at the same time. Longer than three heartbeats; shares outlast the
# silence before a takeover (3 s) and this time together.
ANSWER_LIMIT_S: Final = 2.5
# A holder answers for this long after it read the table of the fleet, so that a
# removed member gets no answer later than that.
READING_LIMIT_S: Final = 4.0
_DRIFT = 1.02
_COUNTED_SHARE_S = SHARE_LIFETIME_S * _DRIFT
_COUNTED_TOKEN_S = TOKEN_LIFETIME_S * _DRIFT
# A share has at most this many times the rate that its VM demands, so that the
# rest of the limit stays where any VM can get it.
_MAX_SHARE_PER_DEMAND = 2.0
# Greatest share of a VM, which bounds what one that has not reported to a new
# holder may hold. A VM with more demand gets tokens beyond it.
_MAX_SHARE = 0.2
# A VM with few operations gets a share of at most this size: a greater one
# would be missing elsewhere until it is given up.
_MIN_DEMAND_PER_S = 1.5
_SMALL_SHARE = 0.05
# A share for less than one operation is rounded up to one at its VM. This many
# shares, and a part of what the limit admits in a window, bound what that adds;
# the rules tolerate 20 operations and a tenth.
_ROUNDED_SHARES = 10
_ROUNDED_PART = 0.05
_WINDOW_S = 5.0
# Part of what the demand leaves of a limit that all such shares may take; the
# rest stays where any VM can get it.
_ROUNDED_SPARE = 0.3
# While a new holder does not know all shares it gives out this many operations
# beyond its part: 5 and 2 in a window of 5 s, of the 20 that are tolerated.
# Rounded shares take up to 11 of these.
_ALLOWANCE_PER_S = 1.0
_ALLOWANCE = 2.0
# A limit is used up if the demand exceeds it by the first factor and the tokens
# do not accrue while operations wait, or by the second; demands are estimates.
_EXHAUSTED_FACTOR = 1.25
_SURELY_EXHAUSTED_FACTOR = 2.0
# Demand counts in full until the next periodic report, with some delay.
_REPORT_PERIOD_S = 1.2
# Shares are summed again at this interval; until then expired ones count.
_SWEEP_INTERVAL_S = 0.25
_FORGET_S = 60.0

# Name of the VM and identifier of its process.
_Process: TypeAlias = tuple[str, str]


@final
class _Holding:
    """Shares of one organisation that a process may hold.

    Args:
        now: Current time in seconds.

    Attributes:
        demand: Operations requested per second at the last report.
        reported_at: When that report arrived, in seconds.
        claim: Share of an earlier holder that the process claims and that it
            has not proved to have held when it was renewed.
    """

    __slots__ = ('_possible', 'claim', 'demand', 'reported_at')

    def __init__(self, now: float) -> None:
        self.claim: float = 0
        self.demand: float = 0
        self.reported_at = now
        # Sequence number, size and latest expiry of each share.
        self._possible: list[tuple[int, float, float]] = []

    def find_share(self, now: float) -> float:
        """Return the largest share that the process may hold."""
        return max(
            (share for _, share, until in self._possible if now < until),
            default=0,
        )

    def find_demand(self, now: float) -> float:
        """Return the demand, which fades without reports."""
        silent_s = now - self.reported_at - _REPORT_PERIOD_S
        if silent_s <= 0:
            return self.demand
        return self.demand * math.exp(-silent_s / DEMAND_PERIOD_S)

    def add(self, sequence: int, share: float, until: float) -> None:
        """Record a share that an answer or a claim may have made valid."""
        self._possible.append((sequence, share, until))

    def confirm(self, sequence: int, share: float, now: float) -> None:
        """Forget what the process no longer holds.

        Args:
            sequence: Newest answer that it has applied for the organisation.
            share: Share that it holds.
            now: Current time in seconds.
        """
        self._possible = [
            (number, min(size, share) if number == sequence else size, until)
            for number, size, until in self._possible
            if number >= sequence and now < until
        ]

    def is_over(self, now: float) -> bool:
        """Return whether nothing is known that still matters."""
        is_silent = now >= self.reported_at + SHARE_LIFETIME_S
        return is_silent and not self.find_share(now)


@final
class _Pool:  # noqa: WPS230
    """Division of one organisation's limit.

    Args:
        limit: The organisation's limit.
        tokens: Tokens in the reserve.
        now: Current time in seconds.

    Attributes:
        limit: The organisation's limit.
        claimed: Sum of the shares of earlier holders that this one may move.
        pending: Sum of the claims that are not proved.
        divided: Sum of the shares that processes may hold.
        demand: Sum of the demands.
        holdings: What each process may hold.
        rounded: Number of the shares that are rounded up.
    """

    __slots__ = (
        '_given',
        '_reserve',
        '_swept_at',
        'claimed',
        'demand',
        'divided',
        'holdings',
        'limit',
        'pending',
        'rounded',
    )

    def __init__(self, limit: Organisation, tokens: float, now: float) -> None:
        self.limit = limit
        self.claimed: float = 0
        self.pending: float = 0
        self.rounded = 0
        self.divided: float = 0
        self.demand: float = 0
        self.holdings: dict[_Process, _Holding] = {}
        self._reserve = TokenBucket(now, 0, tokens, tokens)
        # Tokens in answers: the process, sequence number of the answer, number
        # of tokens and their latest expiry.
        self._given: list[tuple[_Process, int, int, float]] = []
        self._swept_at = -math.inf

    def sweep(self, now: float) -> None:
        """Sum shares and demands again, without those that have expired."""
        if now < self._swept_at + _SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for process, holding in tuple(self.holdings.items()):
            holding.claim = min(holding.claim, holding.find_share(now))
            if holding.is_over(now):
                self.holdings.pop(process)
        holdings = self.holdings.values()
        shares = [one.find_share(now) for one in holdings]
        self.divided = sum(shares)
        self.rounded = sum(map(self.is_rounded, shares))
        self.demand = sum(one.find_demand(now) for one in holdings)
        self.pending = sum(one.claim for one in holdings)

    def remove(self, process: _Process) -> None:
        """Free the shares of a process that has ended."""
        if self.holdings.pop(process, None) is not None:
            self._swept_at = -math.inf

    def find_holding(self, process: _Process, now: float) -> _Holding:
        """Return what a process may hold."""
        holding = self.holdings.get(process)
        if holding is None:
            holding = _Holding(now)
            self.holdings[process] = holding
        return holding

    def choose_share(
        self, demand: float, others: float, rounded: int, most: float
    ) -> float:
        """Return the share of a process.

        Args:
            demand: Its demand.
            others: Sum of the shares that others may hold.
            rounded: Number of these that are rounded up.
            most: Sum of all shares that may be held.
        """
        if demand <= 0:
            return 0
        share = min(
            _MAX_SHARE,
            DIVIDED * demand / max(demand, self.demand),
            _MAX_SHARE_PER_DEMAND * demand / max(1, self.limit.rate_per_s),
            max(0, most - others),
        )
        if demand < _MIN_DEMAND_PER_S:
            share = min(share, _SMALL_SHARE)
        if not self.is_rounded(share):
            return share
        spare = 1 - self.demand / max(1, self.limit.rate_per_s)
        share = min(share, spare * _ROUNDED_SPARE / self._most_rounded)
        has_room = 0 < share <= most - others
        return share if has_room and rounded < self._most_rounded else 0

    def is_rounded(self, share: float) -> bool:
        """Return whether a share is for less than one operation."""
        return 0 < share * find_capacity(self.limit) < 1

    def keep_share(self, share: float, others: float, most: float) -> float:
        """Return what a process may keep of its share."""
        kept = min(share, max(0, most - others))
        return kept if kept == share or not self.is_rounded(kept) else 0

    def shape_reserve(self, free: float, allowance: float, now: float) -> None:
        """Set the rate and capacity of the reserve.

        Args:
            free: Part of the limit that nobody holds.
            allowance: Whether the allowance is added: 1 or 0.
            now: Current time in seconds.
        """
        self._given = [one for one in self._given if now < one[-1]]
        given = sum(count for _, _, count, _ in self._given)
        limit = self.limit
        has_limit = limit.rate_per_s > 0
        extra = allowance if has_limit else 0
        self._reserve.reshape(
            free * limit.rate_per_s + extra * _ALLOWANCE_PER_S,
            free * find_capacity(limit) + extra * _ALLOWANCE - given,
            now,
        )

    def give_tokens(
        self, process: _Process, sequence: int, wanted: int, now: float
    ) -> int:
        """Move tokens from the reserve into an answer."""
        count = self._reserve.take(now, wanted)
        if count:
            until = now + _COUNTED_TOKEN_S
            self._given.append((process, sequence, count, until))
        return count

    def confirm_tokens(self, process: _Process, sequence: int) -> None:
        """Record that a process has no tokens left of its answers so far."""
        self._given = [
            one for one in self._given if one[0] != process or one[1] > sequence
        ]

    def is_exhausted(self, missing: int) -> bool:
        """Return whether operations without tokens should be refused.

        Args:
            missing: Tokens that a process wanted and did not get.
        """
        rate = self.limit.rate_per_s
        if self.demand >= rate * _SURELY_EXHAUSTED_FACTOR:
            return missing > 0
        is_far = missing > self._reserve.rate * TOKEN_LIFETIME_S
        return is_far and self.demand >= rate * _EXHAUSTED_FACTOR

    @property
    def _most_rounded(self) -> int:
        capacity = find_capacity(self.limit)
        in_window = self.limit.rate_per_s * _WINDOW_S + capacity
        return _ROUNDED_SHARES + int(in_window * _ROUNDED_PART)


@final
class QuotaAllocator:
    """Answers the reports of VMs while this process holds one lease.

    Args:
        token: Fencing token of the lease.
        taken_at: When the takeover was known to have been written, in seconds;
            ``None`` if no process held the lease before.
        now: Current time in seconds.
        is_alone: Whether the holder before has surely ended.
        may_know_early: Whether the fleet's table names every process that may
            hold a share; a restored one may lack rows.

    Attributes:
        is_closing: Whether all shares are taken back, and VMs get tokens only.
    """

    __slots__ = (
        '_began_at',
        '_confirmed',
        '_is_first',
        '_known_at',
        '_limits',
        '_may_know_early',
        '_pools',
        '_processes',
        '_pruned_at',
        '_sequence',
        '_unreported',
        'is_closing',
        'token',
    )

    def __init__(
        self,
        token: int,
        taken_at: float | None,
        now: float,
        *,
        is_alone: bool = False,
        may_know_early: bool = True,
    ) -> None:
        self.token = token
        self.is_closing = False
        self._may_know_early = may_know_early
        self._is_first = taken_at is None
        began_at = now
        known_at = now
        if taken_at is not None:
            # The holder before may answer for some time, and the tokens in its
            # last answers are valid a little longer.
            answers_s = 0 if is_alone else ANSWER_LIMIT_S
            began_at = taken_at + answers_s + _COUNTED_TOKEN_S
            known_at = taken_at + answers_s + _COUNTED_SHARE_S
        self._began_at = began_at
        self._known_at = known_at
        # Processes that may hold unknown shares; ``None`` if not bounded.
        self._unreported: int | None = None
        self._limits: Mapping[str, Organisation] = {}
        self._pools: dict[str, _Pool] = {}
        # For each VM, the newest answer when each of its processes reported,
        # and when that was.
        self._processes: dict[str, dict[str, tuple[int, float]]] = {}
        # VMs with a process that has received an answer.
        self._confirmed: set[str] = set()
        self._sequence = 0
        self._pruned_at = now

    def apply_limits(
        self, limits: Mapping[str, Organisation], now: float
    ) -> None:
        """Apply the limits of a configuration immediately.

        Shares are fractions of the limits, so they stay as they are.
        """
        self._limits = limits
        for name, pool in self._pools.items():
            # A limit that is removed and added again is that of the same
            # callers, who may still hold shares.
            limit = limits.get(name)
            if limit is not None:
                pool.limit = limit
                self._shape(pool, pool.divided, now)

    def knows_all(self, now: float) -> bool:
        """Return whether all shares that are held are known."""
        return now >= self._known_at

    def has_closed(self, now: float) -> bool:
        """Return whether no VM holds a share any more."""
        if not (self.is_closing and self.knows_all(now)):
            return False
        pools = self._pools.values()
        for pool in pools:
            pool.sweep(now)
        return not any(one.divided for one in pools)

    def check_members(
        self,
        members: Collection[str],
        removed: Mapping[str, float],
        listed_since: float,
        now: float,
    ) -> None:
        """Find the processes that may hold shares and have not reported.

        The recovery ends once there are none.

        Args:
            members: Names of all members of the fleet.
            removed: Latest time at which a member that may still run was
                removed, in seconds, by name.
            listed_since: Since when these removals are known.
            now: Current time in seconds.
        """
        # A holder that had not read of a removal yet may have answered the
        # member.
        since = now - READING_LIMIT_S - _COUNTED_SHARE_S
        if since < listed_since or not self._may_know_early:
            return
        may_run = {name for name, at in removed.items() if at > since}
        self._unreported = len(may_run.union(members) - self._confirmed)
        if not self._unreported:
            self._known_at = min(self._known_at, now)

    def answer(self, report: QuotaReport, now: float) -> QuotaAllocation | None:
        """Return the answer to a report; ``None`` if it gets none.

        The caller has verified that this process is the holder, and that the
        sender is a member.
        """
        is_addressed = report.token == self.token
        if not is_addressed or report.sequence > self._sequence:
            return None
        if now < self._began_at:
            return None
        is_new = self._record_process(report, now)
        self._sequence += 1
        process = (report.name, report.incarnation)
        shares = []
        for use in report.uses:
            pool = self._find_pool(use.organisation, now)
            if pool is None:
                # This process may get the configuration later than the VM.
                shares.append(OrganisationShare(use.organisation))
                continue
            pool.sweep(now)
            if is_new and use.share and use.token != self.token:
                self._claim(pool, process, use, now)
            shares.append(
                self._answer_use(pool, process, use, now, report.is_urgent)
            )
        self._prune(now)
        return QuotaAllocation(
            self.token, self._sequence, SHARE_LIFETIME_S, tuple(shares)
        )

    def describe(self, now: float) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'token': self.token,
            'knows_all': self.knows_all(now),
            'organisations': len(self._pools),
            'processes': sum(map(len, self._processes.values())),
        }

    def _record_process(self, report: QuotaReport, now: float) -> bool:
        """Record the sender; return whether it has not reported before.

        A process that received an answer which was sent after the last report
        of another process of the same VM is the later one. A report alone does
        not prove that: one of an ended process may be delayed.
        """
        known = self._processes.setdefault(report.name, {})
        is_new = report.incarnation not in known
        for other, (newest, _) in tuple(known.items()):
            if other != report.incarnation and newest < report.sequence:
                known.pop(other)
                for pool in self._pools.values():
                    pool.remove((report.name, other))
        known[report.incarnation] = (self._sequence, now)
        if report.sequence:
            self._confirmed.add(report.name)
        return is_new

    def _find_pool(self, organisation: str, now: float) -> _Pool | None:
        limit = self._limits.get(organisation)
        if limit is None:
            return None
        pool = self._pools.get(organisation)
        if pool is not None:
            return pool
        pool = _Pool(limit, self._find_unused(limit, now), now)
        self._pools[organisation] = pool
        return pool

    def _find_unused(self, limit: Organisation, now: float) -> float:
        """Return the tokens of a limit that nobody has used so far."""
        capacity = find_capacity(limit)
        if self._is_first:
            return capacity
        known_s = now - self._known_at
        if known_s > 0:
            return min(capacity, known_s * limit.rate_per_s)
        free = 1 - DIVIDED
        accrued = (now - self._began_at) * free * limit.rate_per_s
        return min(free * capacity, accrued)

    def _claim(
        self, pool: _Pool, process: _Process, use: OrganisationUse, now: float
    ) -> None:
        """Count a share that an earlier holder allocated."""
        holding = pool.find_holding(process, now)
        holding.add(0, use.share, now + use.lifetime_s * _DRIFT)
        holding.claim = use.share
        pool.pending += use.share
        pool.divided += use.share

    def _confirm(
        self, pool: _Pool, process: _Process, use: OrganisationUse, now: float
    ) -> None:
        """Record which answer a process has applied.

        A process applies no renewal of a share that has expired meanwhile, so
        nobody else can have got the share that it claimed.
        """
        if use.token != self.token:
            return
        holding = pool.holdings[process]
        holding.confirm(use.sequence, use.share, now)
        pool.confirm_tokens(process, use.sequence)
        pool.claimed += holding.claim
        pool.pending -= holding.claim
        holding.claim = 0

    def _answer_use(  # noqa: WPS211
        self,
        pool: _Pool,
        process: _Process,
        use: OrganisationUse,
        now: float,
        is_urgent: bool,
    ) -> OrganisationShare:
        holding = pool.find_holding(process, now)
        others = pool.divided - holding.find_share(now)
        self._confirm(pool, process, use, now)
        pool.demand += use.demand - holding.find_demand(now)
        holding.demand = use.demand
        holding.reported_at = now
        most = DIVIDED
        if not self.knows_all(now):
            most = max(pool.claimed + pool.pending, DIVIDED - self._withheld)
            most = min(DIVIDED, most)
        held = holding.find_share(now)
        rounded = pool.rounded - pool.is_rounded(held)
        unreported = 0 if self.knows_all(now) else self._unreported or 0
        share = pool.choose_share(
            use.demand, others, rounded + unreported, most
        )
        if is_urgent:
            # A share that grew in a burst would keep tokens from other VMs.
            share = pool.keep_share(use.share, others, most)
        if self.is_closing:
            share = 0
        # Before the share is taken from the reserve, so that tokens that no
        # longer fit into it are not lost.
        self._shape(pool, others + holding.find_share(now), now)
        tokens = pool.give_tokens(process, self._sequence, use.wanted, now)
        if share:
            holding.add(self._sequence, share, now + _COUNTED_SHARE_S)
        pool.divided = others + holding.find_share(now)
        pool.rounded = rounded + pool.is_rounded(holding.find_share(now))
        self._shape(pool, pool.divided, now)
        return OrganisationShare(
            use.organisation,
            share,
            tokens,
            pool.is_exhausted(use.wanted - tokens),
        )

    def _shape(self, pool: _Pool, divided: float, now: float) -> None:
        if self.knows_all(now):
            pool.shape_reserve(1 - divided, 0, now)
            return
        free = max(
            1 - DIVIDED + pool.claimed - (divided - pool.pending),
            1 - divided - self._withheld,
        )
        pool.shape_reserve(min(free, 1 - divided), 1, now)

    @property
    def _withheld(self) -> float:
        """Part of each limit that unreported processes may hold."""
        if self._unreported is None:
            return 1
        return min(1, self._unreported * _MAX_SHARE)

    def _prune(self, now: float) -> None:
        """Forget processes that have not reported for long."""
        if now < self._pruned_at + _FORGET_S:
            return
        self._pruned_at = now
        for name, known in tuple(self._processes.items()):
            for incarnation, (_, reported_at) in tuple(known.items()):
                if now >= reported_at + _FORGET_S:
                    known.pop(incarnation)
            if not known:
                self._processes.pop(name)
