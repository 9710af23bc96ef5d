"""A VM's shares of the organisations' limits."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final, final

from catkincrank.gateway.catalog import Organisation
from catkincrank.gateway.organisations.bucket import TokenBucket
from catkincrank.gateway.organisations.quotamessages import (
    MAX_USES,
    SHARE_LIFETIME_S,
    TOKEN_LIFETIME_S,
    OrganisationShare,
    OrganisationUse,
    QuotaAllocation,
    QuotaReport,
)

__all__ = (
    'DEMAND_PERIOD_S',
    'HeldShare',
    'SentReport',
    'Shareholder',
    'DIVIDED',
    'find_capacity',
)

# Demand is averaged over this time: long enough for callers that send an
# operation a second, short enough to follow callers that move.
DEMAND_PERIOD_S: Final = 1.5
# Part of a limit that is divided into shares. The rest is given out as tokens
# to VMs without a share, and is free for a new holder immediately.
DIVIDED: Final = 0.8
# A share that was not used for this long is given up.
_IDLE_S = 2.0
# The same for one of few operations: its VM has callers that ask more rarely,
# who depend on it while no process allocates.
_FEW_IDLE_S = 8.0
_FEW_OPERATIONS = 2.0
# While an organisation uses up its limit, operations that find no token are
# refused without asking for a quarter of the time in which its tokens accrue.
# Asking less often leaves a part of the limit unused.
_MIN_BLOCK_S = 0.05
_MAX_BLOCK_S = 0.25


def find_capacity(limit: Organisation) -> float:
    """Return how many operations a limit admits at once.

    A bucket for less than one operation would admit none.
    """
    return max(limit.burst, 1) if limit.rate_per_s > 0 else limit.burst


@final
class HeldShare:
    """Share of one organisation's limit that this VM holds, and its use.

    Args:
        limit: The organisation's limit.
        now: Current time in seconds.

    Attributes:
        limit: The organisation's limit.
        bucket: Tokens that accrue from the share.
        share: Share of the limit.
        sent_at: When the report that the share answers was sent, in seconds.
        expires_at: When the share expires, in seconds.
        token: Fencing token of the holder that allocated it.
        sequence: Sequence number of the answer that allocated it.
        waiting: Operations that wait for an answer.
        refused: Operations refused since the last report.
        blocked_until: Until then, the allocator is not asked for tokens.
        used_at: When an operation was last requested.
    """

    __slots__ = (
        '_extra',
        '_extra_until',
        '_level',
        '_level_at',
        'blocked_until',
        'bucket',
        'expires_at',
        'limit',
        'refused',
        'sent_at',
        'sequence',
        'share',
        'token',
        'used_at',
        'waiting',
    )

    def __init__(self, limit: Organisation, now: float) -> None:
        self.limit = limit
        self.bucket = TokenBucket(now)
        self.share: float = 0
        self.sent_at = now
        self.expires_at = now
        self.token = 0
        self.sequence = 0
        self.waiting = 0
        self.refused = 0
        self.blocked_until: float = 0
        self.used_at = now
        self._extra = 0
        self._extra_until: float = 0
        self._level: float = 0
        self._level_at = now

    def count(self, now: float) -> None:
        """Count a requested operation."""
        self._decay(now)
        self._level += 1
        self.used_at = now

    def find_demand(self, now: float) -> float:
        """Return the recently requested operations per second."""
        self._decay(now)
        return self._level / DEMAND_PERIOD_S

    def find_wanted(self, now: float) -> int:
        """Return how many tokens could be used while they are valid."""
        soon = self.find_demand(now) * TOKEN_LIFETIME_S
        return self.waiting + min(self.refused, math.ceil(soon))

    def spend(self, now: float) -> bool:
        """Take a token for one operation; return whether there was one."""
        if self.share and now >= self.expires_at:
            self.drop(now)
        if self.bucket.take(now):
            return True
        if self._extra and now < self._extra_until:
            self._extra -= 1
            return True
        return False

    def drop(self, now: float) -> None:
        """Give up the share."""
        self.share = 0
        self.reshape(now)

    def reshape(self, now: float) -> None:
        """Derive rate and capacity from the share and the limit."""
        rate = self.share * self.limit.rate_per_s
        self.bucket.reshape(rate, self._find_operations(), now)

    def return_tokens(self) -> None:
        """Drop the tokens of the last answer, which a report confirms."""
        self._extra = 0

    def apply(
        self, allocated: OrganisationShare, expires_at: float, sent_at: float
    ) -> None:
        """Apply an answer; the caller sets token and sequence."""
        self.share = allocated.share
        self.sent_at = sent_at
        self.expires_at = expires_at
        self._extra = allocated.tokens
        self._extra_until = sent_at + TOKEN_LIFETIME_S

    def block(self, now: float) -> None:
        """Ask for no tokens until the allocator can have some again."""
        refill_s = find_capacity(self.limit) / max(1, self.limit.rate_per_s)
        self.blocked_until = now + min(
            _MAX_BLOCK_S, max(_MIN_BLOCK_S, refill_s / 4)
        )

    def is_due(self, since: float) -> bool:
        """Return whether a periodic report must list the organisation.

        Args:
            since: When the last periodic report was sent, in seconds.
        """
        # A share is reported while demand falls, so that others get it.
        return self.used_at >= since or self.share > 0 or self.waiting > 0

    def is_idle(self, now: float) -> bool:
        """Return whether the organisation has not been used recently."""
        has_few = 0 < self._find_operations() <= _FEW_OPERATIONS
        idle_s = _FEW_IDLE_S if has_few else _IDLE_S
        return not self.waiting and now >= self.used_at + idle_s

    def _find_operations(self) -> float:
        """Return how many operations the share admits at once.

        A share for less than one is rounded up; the allocator bounds the number
        of these.
        """
        capacity = self.share * find_capacity(self.limit)
        if self.share and self.limit.rate_per_s > 0:
            return max(1, capacity)
        return capacity

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._level_at
        if elapsed_s > 0:
            self._level *= math.exp(-elapsed_s / DEMAND_PERIOD_S)
            self._level_at = now


@final
@dataclass(frozen=True, slots=True)
class SentReport:
    """A report and when it was sent.

    Attributes:
        report: The report.
        sent_at: When it was made, in seconds; shares expire relative to it.
    """

    report: QuotaReport
    sent_at: float


@final
class Shareholder:
    """Admits operations by the shares that this VM holds.

    Args:
        name: Name of the VM.
        incarnation: Identifier of the process.

    Attributes:
        expired: Number of shares that expired before they were renewed.
    """

    __slots__ = (
        '_incarnation',
        '_limits',
        '_name',
        '_reported_at',
        '_sequence',
        '_shares',
        '_token',
        'expired',
        'is_introduced',
    )

    def __init__(self, name: str, incarnation: str) -> None:
        self._name = name
        self._incarnation = incarnation
        self._limits: Mapping[str, Organisation] = {}
        self._shares: dict[str, HeldShare] = {}
        # The newest holder that was asked, and its newest answer.
        self._token = 0
        self._sequence = 0
        self._reported_at = -math.inf
        self.is_introduced = False
        self.expired = 0

    @property
    def shares(self) -> Mapping[str, HeldShare]:
        """Shares by organisation, including those of size 0."""
        return self._shares

    def apply_limits(
        self, limits: Mapping[str, Organisation], now: float
    ) -> None:
        """Apply the limits of a configuration to all shares immediately."""
        self._limits = limits
        for name in tuple(self._shares):
            limit = limits.get(name)
            if limit is None:
                self._shares.pop(name)
                continue
            held = self._shares[name]
            held.limit = limit
            held.reshape(now)

    def find(self, organisation: str, now: float) -> HeldShare | None:
        """Return the share of an organisation; ``None`` if it has no limit."""
        held = self._shares.get(organisation)
        if held is None:
            limit = self._limits.get(organisation)
            if limit is None:
                return None
            held = HeldShare(limit, now)
            self._shares[organisation] = held
        elif held.share and now >= held.expires_at:
            held.drop(now)
            self.expired += 1
        return held

    def make_report(
        self, token: int, now: float, *, is_urgent: bool = False
    ) -> SentReport | None:
        """Return the next report; ``None`` if there is nothing to report.

        Args:
            token: Fencing token of the holder that is asked.
            now: Current time in seconds.
            is_urgent: Whether to list only organisations with operations that
                wait.
        """
        if token < self._token:
            return None
        if token > self._token:
            self._token = token
            self._sequence = 0
            self.is_introduced = False
        is_whole = not self._sequence
        listed = tuple(self._list_due(now, is_whole, is_urgent))
        if not is_urgent:
            self._reported_at = now
        if not listed and self.is_introduced:
            return None
        report = QuotaReport(
            self._name,
            self._incarnation,
            token,
            self._sequence,
            is_whole,
            listed,
            is_urgent,
        )
        return SentReport(report, now)

    def apply(
        self, sent: SentReport, answer: QuotaAllocation, now: float
    ) -> bool:
        """Apply the answer to a report; return whether it was applied.

        An answer of another holder than the one that was asked last, or one
        older than the newest, is not applied.
        """
        if answer.token != self._token or answer.sequence <= self._sequence:
            return False
        self.is_introduced = sent.report.sequence > 0
        self._sequence = answer.sequence
        lifetime_s = min(answer.lifetime_s, SHARE_LIFETIME_S)
        expires_at = sent.sent_at + lifetime_s
        uses = {use.organisation: use for use in sent.report.uses}
        for allocated in answer.shares:
            use = uses.get(allocated.organisation)
            if use is not None:
                self._apply_one(use, allocated, expires_at, sent.sent_at, now)
        return True

    def _apply_one(  # noqa: WPS211
        self,
        use: OrganisationUse,
        allocated: OrganisationShare,
        expires_at: float,
        sent_at: float,
        now: float,
    ) -> None:
        held = self.find(use.organisation, now)
        # An earlier holder may have allocated a share that has expired to
        # another VM, so its renewal must not be applied.
        has_ended = held is not None and use.share > held.share
        if held is None or has_ended or now >= expires_at:
            return
        held.apply(allocated, expires_at, sent_at)
        held.token = self._token
        held.sequence = self._sequence
        held.reshape(now)
        if allocated.is_exhausted:
            held.block(now)

    def _list_due(
        self, now: float, is_whole: bool, is_urgent: bool
    ) -> Iterator[OrganisationUse]:
        """Return the uses to report."""
        if not is_urgent:
            self._forget_unused(now)
        count = 0
        for name in self._shares:
            held = self.find(name, now)
            is_listed = is_whole or self._is_due(held, is_urgent)
            if is_listed and count < MAX_USES:
                count += 1
                yield self._describe(name, held, now)
            elif is_whole:
                # A whole report must list every share that is held.
                held.drop(now)

    def _is_due(self, held: HeldShare, is_urgent: bool) -> bool:
        if is_urgent:
            return held.waiting > 0
        return held.is_due(self._reported_at)

    def _forget_unused(self, now: float) -> None:
        for name, held in tuple(self._shares.items()):
            if not held.share and not held.refused and held.is_idle(now):
                self._shares.pop(name)

    def _describe(
        self, name: str, held: HeldShare, now: float
    ) -> OrganisationUse:
        is_idle = held.is_idle(now)
        if is_idle:
            held.drop(now)
        wanted = held.find_wanted(now)
        held.refused = 0
        held.return_tokens()
        return OrganisationUse(
            name,
            0 if is_idle else held.find_demand(now),
            wanted,
            held.share,
            max(0, held.expires_at - now),
            held.token,
            held.sequence,
        )
