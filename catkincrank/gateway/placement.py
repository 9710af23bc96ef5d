"""Chooses an endpoint for a statement and borrows a link to it."""

import random
from dataclasses import dataclass, field
from typing import final

import anyio
from anyio.lowlevel import checkpoint

from catkincrank.errors import EndpointError
from catkincrank.gateway.catalog import Consistency, Route
from catkincrank.gateway.choice import (
    Choice,
    Latencies,
    choose_reader,
    require_position,
)
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import LinkRefusedError
from catkincrank.gateway.linkpools import BorrowedLink, LinkRequest
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure, StatementFailed
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.retry import OPENING_BACKOFF
from catkincrank.verdict import RequestError

__all__ = ('Placement', 'PlacementRequest')

# The other two endpoints of a group of three are tried without back-off.
_IMMEDIATE_RETRIES = 2
# A failover usually completes within this time; once a group has been without a
# primary for longer, statements are refused early so that callers retry later.
_MAX_PRIMARY_GAP_S = 2.5
# Proofs that have failed for this long are not expected to succeed soon.
_MAX_PROOF_GAP_S = 0.5
# Even then a statement waits this long, which spreads its caller's retries.
_MIN_WAIT_S = 0.1
# Reads prefer replicas, because only the primary can run writes; the primary is
# used when replicas cost half as much again.
_PRIMARY_COST_FACTOR = 1.5
# A read is retried elsewhere after this multiple of the endpoint's mean
# response time. A tenth of the responses take five times the mean, and an
# abandoned read still costs the endpoint its work.
_ATTEMPT_FACTOR = 6
_MIN_ATTEMPT_S = 0.3
# A statement for the primary is retried there at most once, on another
# connection, in case the first one was dead: an attempt gets half of the
# remaining time.
_PRIMARY_ATTEMPT_SHARE = 0.5
# Interval at which a statement without an endpoint checks again.
_POLL_INTERVAL_S = 0.05
# Failures after which the statement may run at another endpoint or later.
_RETRYABLE_ELSEWHERE = frozenset(
    (
        Failure.BUSY,
        Failure.LAGGING,
        Failure.READ_ONLY,
        Failure.WRONG_ENDPOINT,
        Failure.OVERLOADED,
    ),
)


@final
@dataclass(slots=True)
class PlacementRequest:
    """Requirements of a statement on its endpoint, and refusals so far.

    Attributes:
        route: Route of the session.
        last_commit: Position of the session's newest commit.
        arrived_at: When the statement, or its transaction, arrived.
        deadline: When the statement times out.
        is_write: Whether it has to run at the primary.
        organisation: Organisation of the caller; empty for none.
        excluded: Endpoints that have refused it recently.
        refused: Failure of the last refusal.
        refusal_count: Number of refusals so far.
    """

    route: Route
    last_commit: Position | None
    arrived_at: float
    deadline: float
    is_write: bool
    organisation: str = ''
    excluded: set[str] = field(default_factory=set)
    refused: Failure = Failure.OVERLOADED
    refusal_count: int = 0

    @property
    def link_request(self) -> LinkRequest:
        """The request with which the statement queues for a link."""
        return LinkRequest(
            self.route.name,
            self.route.priority,
            self.deadline,
            self.organisation,
        )

    @property
    def needs_primary(self) -> bool:
        """Whether only the primary may run the statement."""
        return self.is_write or self.route.consistency is Consistency.STRONG

    def exclude(self, endpoint_id: str, failure: Failure) -> None:
        """Record a refusal; reads then avoid the endpoint."""
        self.refused = failure
        self.refusal_count += 1
        if not self.needs_primary:
            self.excluded.add(endpoint_id)


@final
class Placement:
    """Places statements on endpoints.

    Args:
        groups: Evidence about the groups.
        link_provider: Lends links to endpoints.
        latencies: Mean response times of the endpoints.
    """

    __slots__ = ('_groups', '_latencies', '_link_provider', '_random')

    def __init__(
        self,
        groups: Groups,
        link_provider: LinkProvider,
        latencies: Latencies,
    ) -> None:
        self._groups = groups
        self._link_provider = link_provider
        self._latencies = latencies
        self._random = random.Random()

    async def place(
        self, request: PlacementRequest
    ) -> tuple[Choice, BorrowedLink]:
        """Return the endpoint for a statement and a link to it.

        Raises:
            StatementFailed: No endpoint can run it in time.
        """
        while True:
            choice = await self._await_choice(request)
            try:
                borrowed = await self._link_provider.borrow(
                    choice.entry,
                    request.link_request,
                )
            except EndpointError:
                request.exclude(choice.entry.endpoint_id, Failure.OVERLOADED)
                await self.pause(request)
                continue
            except RequestError as error:
                raise StatementFailed(
                    Failure.OVERLOADED,
                    '{0}: {1}'.format(choice.entry.endpoint_id, error),
                ) from None
            return choice, borrowed

    def attempt_deadline(
        self, request: PlacementRequest, entry: EndpointEntry
    ) -> float:
        """Return the deadline of one attempt at a repeatable operation.

        An endpoint that does not answer within several times its mean response
        time is abandoned, so that another one can still answer in time.
        """
        now = anyio.current_time()
        expected_s = self._latencies.estimate(entry, now)
        limit_s = max(_MIN_ATTEMPT_S, _ATTEMPT_FACTOR * expected_s)
        if request.needs_primary:
            limit_s = max(
                limit_s, (request.deadline - now) * _PRIMARY_ATTEMPT_SHARE
            )
        return min(request.deadline, now + limit_s)

    def record_refusal(
        self,
        request: PlacementRequest,
        entry: EndpointEntry,
        error: EndpointError,
    ) -> None:
        """Record that an endpoint did not run a statement.

        Raises:
            StatementFailed: Its queue is full and no other endpoint is left.
        """
        request.exclude(entry.endpoint_id, Failure.OVERLOADED)
        is_last = (
            request.needs_primary or request.refusal_count > _IMMEDIATE_RETRIES
        )
        if is_last and isinstance(error, LinkRefusedError):
            cause = '{0}: {1}'.format(entry.endpoint_id, error)
            raise StatementFailed(Failure.OVERLOADED, cause)

    def record_timeout(self, entry: EndpointEntry, took_s: float) -> None:
        """Count the time until an endpoint timed out as its response time."""
        self._latencies.record_answer(entry, took_s, anyio.current_time())

    def may_retry_elsewhere(
        self, request: PlacementRequest, failure: Failure
    ) -> bool:
        """Return whether a refused statement may be retried elsewhere.

        A failed read may have run, but is harmless to repeat. At most two other
        endpoints are tried, which bounds the caller's wait.
        """
        if failure is Failure.FAILED:
            return (
                not request.needs_primary
                and request.refusal_count < _IMMEDIATE_RETRIES
            )
        return failure in _RETRYABLE_ELSEWHERE

    async def pause(self, request: PlacementRequest) -> None:
        """Back off before the next attempt.

        Raises:
            StatementFailed: The deadline would pass.
        """
        if (
            request.refusal_count <= _IMMEDIATE_RETRIES
            and not request.needs_primary
        ):
            await checkpoint()
            return
        delay = OPENING_BACKOFF.delay(request.refusal_count, self._random)
        resume_at = anyio.current_time() + delay
        if resume_at >= request.deadline:
            detail = self._explain(request, anyio.current_time())
            raise StatementFailed(request.refused, detail)
        await self._groups.wait(resume_at)

    async def _await_choice(self, request: PlacementRequest) -> Choice:
        while True:
            now = anyio.current_time()
            choice = self._choose(request, now)
            if choice is not None:
                return choice
            if now >= request.deadline or self._is_primary_overdue(
                request, now
            ):
                raise StatementFailed(
                    request.refused, self._explain(request, now)
                )
            request.excluded.clear()
            self._groups.request_proof(request.route.service, now)
            await self._groups.wait(
                min(request.deadline, now + _POLL_INTERVAL_S)
            )

    def _explain(self, request: PlacementRequest, now: float) -> str:
        """Return why no endpoint could run a statement, with details."""
        evidence = self._groups.evidence(request.route.service)
        attempts = 'last refusal: {0}; {1} attempts in {2:.2f} s'.format(
            request.refused.value,
            request.refusal_count,
            now - request.arrived_at,
        )
        missing_s = evidence.missing_s(now)
        if missing_s:
            return 'no usable primary for {0:.1f} s{1}; {2}'.format(
                missing_s,
                _quote_objection(evidence.proof.objection),
                attempts,
            )
        return attempts

    def _is_primary_overdue(
        self, request: PlacementRequest, now: float
    ) -> bool:
        """Return whether the primary is missing for too long to wait on."""
        service = request.route.service
        evidence = self._groups.evidence(service)
        if now - request.arrived_at <= _MIN_WAIT_S:
            return False
        if evidence.missing_s(now) > _MAX_PRIMARY_GAP_S:
            return True
        if self._groups.may_prove(service, now):
            return evidence.proof.failing_s(now) > _MAX_PROOF_GAP_S
        return evidence.ungranted_s(now) > _MAX_PRIMARY_GAP_S

    def _choose(self, request: PlacementRequest, now: float) -> Choice | None:
        service = request.route.service
        evidence = self._groups.evidence(service)
        if request.needs_primary:
            return self._choose_primary(request, now)
        self._renew_samples(request, now)
        required = require_position(
            request.route,
            evidence,
            request.last_commit,
            request.arrived_at,
        )
        entry = choose_reader(
            self._groups.list_usable(service, now),
            required,
            request.excluded,
            lambda candidate: self._cost(candidate, now),
        )
        if entry is None:
            return self._choose_primary(request, now)
        return Choice(entry, required)

    def _renew_samples(self, request: PlacementRequest, now: float) -> None:
        """Have new samples taken before the newest one is too old."""
        service = request.route.service
        evidence = self._groups.evidence(service)
        if evidence.find_grant(now) is None:
            renewal_age_s = request.route.max_staleness_s / 2
            if evidence.sample_age_s(now) > renewal_age_s:
                self._groups.request_proof(service, now)

    def _choose_primary(
        self, request: PlacementRequest, now: float
    ) -> Choice | None:
        service = request.route.service
        found = self._groups.find_primary(service, now, request.arrived_at)
        if found is None:
            return None
        grant, entry = found
        required = self._groups.evidence(service).find_primary_position()
        return Choice(entry, required, grant.term)

    def _cost(self, entry: EndpointEntry, now: float) -> float:
        expected = self._latencies.estimate(entry, now)
        grant = self._groups.evidence(entry.service).grant
        if grant is not None and grant.endpoint_id == entry.endpoint_id:
            expected *= _PRIMARY_COST_FACTOR
        requests = self._link_provider.count_requests(entry)
        occupied = requests / max(1, entry.slots)
        return expected * (1 + occupied)


def _quote_objection(objection: str) -> str:
    return ' ({0})'.format(objection) if objection else ''
