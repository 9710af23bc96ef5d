"""Admits operations by shares that the lease holder allocates.

In use while a member's build does not divide limits into shards.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, final

import anyio

from catkincrank.errors import MessageError
from catkincrank.gateway.catalog import Catalog, Organisation
from catkincrank.gateway.failoverlease import FailoverLease
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.leaserows import make_token
from catkincrank.gateway.organisations.allocator import (
    ANSWER_LIMIT_S,
    READING_LIMIT_S,
    QuotaAllocator,
)
from catkincrank.gateway.organisations.quotameasures import QuotaMeasures
from catkincrank.gateway.organisations.quotamessages import (
    TOKEN_LIFETIME_S,
    QuotaAllocation,
    QuotaReport,
    check_allocation,
    check_report,
)
from catkincrank.gateway.organisations.shareholder import (
    HeldShare,
    SentReport,
    Shareholder,
    find_capacity,
)
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.reply import Failure, StatementFailed
from catkincrank.logs import log_event

__all__ = ('Quotas',)

_REPORT_INTERVAL_S = 1.0
_URGENT_INTERVAL_S = 0.05
# A longer wait for an answer would outlast the operations that wait for it.
_ASK_TIMEOUT_S = 0.4
_MAX_WAIT_S: Final = TOKEN_LIFETIME_S
_NO_LIMITS: Final[Mapping[str, Organisation]] = MappingProxyType({})


@final
class Quotas:  # noqa: WPS214
    """Admits operations, and allocates shares while the lease is held.

    Args:
        groups: Provides the configuration in force.
        fleet: State of the fleet's table: the lease holder and the members.
        lease: Failover lease; its holder is the allocator.
        client: Sends reports to the holder.
        measures: Records refusals and reports.
        shareholder: Shares of the VM.

    Attributes:
        may_request: Whether this VM asks the lease holder for shares.
        may_allocate: Whether it allocates them while it holds the lease.
    """

    __slots__ = (
        '_allocator',
        '_answered',
        '_catalog',
        '_client',
        '_fleet',
        '_groups',
        '_is_closing',
        '_lease',
        '_limits',
        '_measures',
        '_periodic_at',
        '_shareholder',
        '_urgent',
        'may_allocate',
        'may_request',
    )

    def __init__(
        self,
        groups: Groups,
        fleet: FleetState,
        lease: FailoverLease,
        client: PeerClient,
        measures: QuotaMeasures,
        shareholder: Shareholder,
    ) -> None:
        self._groups = groups
        self._fleet = fleet
        self._lease = lease
        self._client = client
        self._shareholder = shareholder
        self._measures = measures
        self._is_closing = False
        self.may_allocate = True
        self.may_request = True
        self._allocator: QuotaAllocator | None = None
        self._catalog: Catalog | None = None
        self._limits = _NO_LIMITS
        self._urgent = anyio.Event()
        self._answered = anyio.Event()
        self._periodic_at: float = 0

    async def admit(self, organisation: str) -> None:
        """Admit one operation of an organisation; empty for none.

        Waits for the allocator only if this VM's share does not suffice.

        Raises:
            StatementFailed: The operation exceeds the limit; it was not run.
        """
        self._apply_catalog()
        if not (organisation and self._limits):
            return
        now = anyio.current_time()
        held = self._shareholder.find(organisation, now)
        if held is None:
            raise self._refuse(organisation, None, 'no_limit')
        held.count(now)
        if held.spend(now):
            return
        cause = await self._wait_for_token(held, now)
        if cause:
            held.refused += 1
            raise self._refuse(organisation, held, cause)

    async def answer(self, report: QuotaReport) -> QuotaAllocation | None:
        """Answer a VM's report; ``None`` unless surely the lease holder."""
        try:
            check_report(report)
        except MessageError as error:
            self._measures.record_malformed(report.name, error)
            return None
        if not self.may_allocate or report.name not in self._fleet.members:
            return None
        return self._answer(report)

    def close(self) -> bool:
        """Take back all shares; return whether none is left anywhere.

        Only for the lease holder. Members get tokens until then.
        """
        now = anyio.current_time()
        if not self._is_holder(now):
            return False
        self._apply_catalog()
        self._is_closing = True
        allocator = self._find_allocator(now)
        self._check_members(allocator, now)
        return allocator.has_closed(now)

    def reopen(self) -> None:
        """Allocate shares again."""
        self._is_closing = False

    async def run(self) -> None:
        """Report to the lease holder until cancelled."""
        while True:
            due_at = self._periodic_at + _REPORT_INTERVAL_S
            with anyio.CancelScope(deadline=due_at):
                await self._urgent.wait()
            self._urgent = anyio.Event()
            started_at = anyio.current_time()
            is_periodic = started_at >= due_at
            if is_periodic:
                self._periodic_at = started_at
            if self.may_request:
                await self._report(is_urgent=not is_periodic)
            # Operations that wait take the tokens, and give up or ask again.
            answered = self._answered
            self._answered = anyio.Event()
            answered.set()
            await anyio.sleep_until(started_at + _URGENT_INTERVAL_S)

    def describe(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        now = anyio.current_time()
        allocator = self._allocator
        return {
            'is_allocator': self._is_holder(now),
            'allocator': allocator and allocator.describe(now),
            **self._measures.describe(now),
        }

    def _apply_catalog(self) -> None:
        catalog = self._groups.catalog
        if catalog is self._catalog or catalog is None:
            return
        self._catalog = catalog
        self._limits = catalog.organisations or _NO_LIMITS
        now = anyio.current_time()
        self._shareholder.apply_limits(self._limits, now)
        if self._allocator is not None:
            self._allocator.apply_limits(self._limits, now)

    async def _wait_for_token(self, held: HeldShare, now: float) -> str:
        """Wait for a token; return why there is none, or an empty string."""
        limit = held.limit
        most = find_capacity(limit) + limit.rate_per_s * _MAX_WAIT_S
        if now < held.blocked_until or held.waiting >= most:
            return 'limit'
        held.waiting += 1
        try:  # noqa: WPS501
            return await self._wait_until(held, now + _MAX_WAIT_S)
        finally:
            held.waiting -= 1

    async def _wait_until(self, held: HeldShare, ends_at: float) -> str:
        while True:
            self._urgent.set()
            with anyio.CancelScope(deadline=ends_at):
                await self._answered.wait()
            now = anyio.current_time()
            if held.spend(now):
                return ''
            if now < held.blocked_until:
                return 'limit'
            if now >= ends_at:
                return 'no_token' if self._measures.is_answered else 'no_answer'

    def _refuse(
        self, organisation: str, held: HeldShare | None, cause: str
    ) -> StatementFailed:
        detail = self._measures.record_refusal(organisation, held, cause)
        return StatementFailed(Failure.OVERLOADED, detail)

    async def _report(self, *, is_urgent: bool) -> None:
        """Send a report if one is due, and apply the answer."""
        self._apply_catalog()
        holder = self._fleet.holder
        if not self._limits:
            return
        if not holder:
            self._measures.record_report('', 0, is_applied=False)
            return
        revision, record = holder
        member = self._fleet.members.get(record.name)
        token = make_token(revision)
        now = anyio.current_time()
        sent = self._shareholder.make_report(token, now, is_urgent=is_urgent)
        if sent is None:
            return
        answer = await self._ask(member, sent.report)
        is_applied = self._apply(sent, answer)
        self._measures.record_report(record.name, token, is_applied=is_applied)

    async def _ask(
        self, member: MemberRecord | None, report: QuotaReport
    ) -> object:
        if member is None:
            return None
        if member.name == self._fleet.own_member.name:
            return self._answer(report)
        return await self._client.ask(member, report, _ASK_TIMEOUT_S)

    def _apply(self, sent: SentReport, answer: object) -> bool:
        if not isinstance(answer, QuotaAllocation):
            return False
        try:
            check_allocation(answer)
        except MessageError as error:
            self._measures.record_malformed('the lease holder', error)
            return False
        return self._shareholder.apply(sent, answer, anyio.current_time())

    def _is_holder(self, now: float) -> bool:
        """Return whether no successor can be allocating.

        ``is_held`` is only what this process knows: it stays true in a process
        that was frozen or is cut off from the store. A confirmed heartbeat was
        written before any takeover, and a successor waits longer than
        ``ANSWER_LIMIT_S`` after its takeover.
        """
        lease = self._lease
        read_at = self._fleet.copy.store_read_at
        return (
            lease.is_held
            and now < lease.confirmed_at + ANSWER_LIMIT_S
            and now < read_at + READING_LIMIT_S
        )

    def _answer(self, report: QuotaReport) -> QuotaAllocation | None:
        # Read before the check, so that a freeze after it does no harm: what
        # is allocated expires relative to this time.
        now = anyio.current_time()
        if not self._is_holder(now):
            return None
        self._apply_catalog()
        allocator = self._find_allocator(now)
        self._check_members(allocator, now)
        return allocator.answer(report, now)

    def _check_members(self, allocator: QuotaAllocator, now: float) -> None:
        if allocator.knows_all(now):
            return
        fleet = self._fleet
        allocator.check_members(
            fleet.members.keys(),
            fleet.pruned.removed_at,
            fleet.pruned.listed_since,
            now,
        )
        if allocator.knows_all(now):
            log_event('quotas_known', token=allocator.token)

    def _find_allocator(self, now: float) -> QuotaAllocator:
        lease = self._lease
        allocator = self._allocator
        if allocator is None or allocator.token != lease.token:
            taken_at = None if lease.is_first else lease.taken_at
            allocator = QuotaAllocator(
                lease.token,
                taken_at,
                now,
                is_alone=lease.is_succeeding_itself,
                may_know_early=not lease.is_first_of_era,
            )
            allocator.apply_limits(self._limits, now)
            self._allocator = allocator
            log_event('quotas_taken', token=lease.token, first=lease.is_first)
        allocator.is_closing = self._is_closing
        return allocator
