"""Finds an endpoint for a statement and borrows a link to it."""

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
from catkincrank.gateway.linkpools import BorrowedLink, Claim
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.position import Position
from catkincrank.gateway.reply import Failure, StatementFailed
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.retry import OPENING_BACKOFF
from catkincrank.verdict import RequestError

__all__ = ('Need', 'Placement')

# The other endpoints of a group of three are tried without a pause.
_FREE_TRIES = 2
# A primary is usually replaced within this time, in seconds; once one has been
# missing for longer, callers learn at once that they have to come back.
_GAP_LIMIT_S = 2.5
# Even then a statement waits this long, so that its caller's tries are spread.
_LEAST_WAIT_S = 0.1
# Reads keep away from the primary, which alone can run writes, unless replicas
# cost half as much again.
_PRIMARY_COST = 1.5
# A read is tried elsewhere after this many of the endpoint's usual answers: a
# tenth of them take five times the mean, and each costs the endpoint its work.
_TRY_FACTOR = 6
_LEAST_TRY_S = 0.3
# What only the primary can run is tried there once more at most, on another
# connection, in case the first one was dead.
_PRIMARY_TRY_SHARE = 0.5
# How often a statement that waits for a primary looks again.
_LOOK_S = 0.05
# Replies that say that the same statement may run at another endpoint or later.
_MOVABLE = frozenset(
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
class Need:
    """What a statement needs of an endpoint.

    Attributes:
        route: Route of the session.
        mark: Newest own commit of the session.
        arrived_at: When the statement, or its transaction, arrived.
        deadline: When waiting on is of no use.
        is_write: Whether the primary has to run it.
        excluded: Endpoints that have refused it lately.
        refused: The last refusal.
        tries: Refusals so far.
    """

    route: Route
    mark: Position | None
    arrived_at: float
    deadline: float
    is_write: bool
    excluded: set[str] = field(default_factory=set)
    refused: Failure = Failure.OVERLOADED
    tries: int = 0

    @property
    def claim(self) -> Claim:
        """What decides whether it gets a link before others."""
        return Claim(self.route.name, self.route.priority, self.deadline)

    @property
    def needs_primary(self) -> bool:
        """Whether only the primary will do."""
        return self.is_write or self.route.consistency is Consistency.STRONG

    def exclude(self, endpoint_id: str, failure: Failure) -> None:
        """Remember that an endpoint refused."""
        self.refused = failure
        self.tries += 1
        if not self.needs_primary:
            self.excluded.add(endpoint_id)


@final
class Placement:
    """Places statements on endpoints.

    Args:
        groups: Evidence about the groups.
        lending: Lends links.
        latencies: How long endpoints take.
    """

    __slots__ = ('_groups', '_latencies', '_lending', '_source')

    def __init__(
        self,
        groups: Groups,
        link_provider: LinkProvider,
        latencies: Latencies,
    ) -> None:
        self._groups = groups
        self._lending = link_provider
        self._latencies = latencies
        self._source = random.Random()

    async def place(self, need: Need) -> tuple[Choice, BorrowedLink]:
        """Return where a statement runs, with a link to it.

        Raises:
            StatementFailed: No endpoint can run it in time.
        """
        while True:
            choice = await self._await_choice(need)
            try:
                borrowed = await self._lending.borrow(
                    choice.entry,
                    need.claim,
                )
            except EndpointError:
                need.exclude(choice.entry.endpoint_id, Failure.OVERLOADED)
                await self.pause(need)
                continue
            except RequestError as error:
                raise StatementFailed(
                    Failure.OVERLOADED,
                    '{0}: {1}'.format(choice.entry.endpoint_id, error),
                ) from None
            return choice, borrowed

    def limit_try(self, need: Need, entry: EndpointEntry) -> float:
        """Return until when an endpoint may take for what can be repeated.

        An endpoint that stays silent for several times its usual answer is
        given up, so that another one can still answer in time.
        """
        now = anyio.current_time()
        usual_s = self._latencies.expect(entry, now)
        limit_s = max(_LEAST_TRY_S, _TRY_FACTOR * usual_s)
        if need.needs_primary:
            limit_s = max(limit_s, (need.deadline - now) * _PRIMARY_TRY_SHARE)
        return min(need.deadline, now + limit_s)

    def take_refusal(
        self,
        need: Need,
        entry: EndpointEntry,
        error: EndpointError,
    ) -> None:
        """Remember that an endpoint did not run a statement.

        Raises:
            StatementFailed: Its queue is full and there is none other to try.
        """
        need.exclude(entry.endpoint_id, Failure.OVERLOADED)
        is_last = need.needs_primary or need.tries > _FREE_TRIES
        if is_last and isinstance(error, LinkRefusedError):
            cause = '{0}: {1}'.format(entry.endpoint_id, error)
            raise StatementFailed(Failure.OVERLOADED, cause)

    def note_late(self, entry: EndpointEntry, took_s: float) -> None:
        """Take in that an endpoint did not answer within a time."""
        self._latencies.record_answer(
            entry.endpoint_id, took_s, anyio.current_time()
        )

    def may_move(self, need: Need, failure: Failure) -> bool:
        """Return whether a refused statement may be tried elsewhere.

        A read that failed did run, which does no harm; other endpoints get a
        chance, but the caller is not kept waiting for a third one.
        """
        if failure is Failure.FAILED:
            return not need.needs_primary and need.tries < _FREE_TRIES
        return failure in _MOVABLE

    async def pause(self, need: Need) -> None:
        """Wait a little before the next try.

        Raises:
            StatementFailed: The deadline would pass.
        """
        if need.tries <= _FREE_TRIES and not need.needs_primary:
            await checkpoint()
            return
        delay = OPENING_BACKOFF.delay(need.tries, self._source)
        resume_at = anyio.current_time() + delay
        if resume_at >= need.deadline:
            detail = self._explain(need, anyio.current_time())
            raise StatementFailed(need.refused, detail)
        await self._groups.wait(resume_at)

    async def _await_choice(self, need: Need) -> Choice:
        while True:
            now = anyio.current_time()
            choice = self._choose(need, now)
            if choice is not None:
                return choice
            if now >= need.deadline or self._is_hopeless(need, now):
                raise StatementFailed(need.refused, self._explain(need, now))
            need.excluded.clear()
            await self._groups.wait(min(need.deadline, now + _LOOK_S))

    def _explain(self, need: Need, now: float) -> str:
        """Return why no endpoint could run a statement, and the evidence."""
        evidence = self._groups.evidence(need.route.service)
        tried = 'last refusal: {0}; {1} tries in {2:.2f} s'.format(
            need.refused.value,
            need.tries,
            now - need.arrived_at,
        )
        if need.needs_primary and evidence.find_grant(now) is None:
            return 'no primary was granted for {0:.1f} s; {1}'.format(
                evidence.ungranted_s(now),
                tried,
            )
        return tried

    def _is_hopeless(self, need: Need, now: float) -> bool:
        """Return whether a primary has been missing for too long to wait."""
        evidence = self._groups.evidence(need.route.service)
        waited_s = now - need.arrived_at
        return (
            evidence.ungranted_s(now) > _GAP_LIMIT_S
            and waited_s > _LEAST_WAIT_S
        )

    def _choose(self, need: Need, now: float) -> Choice | None:
        service = need.route.service
        evidence = self._groups.evidence(service)
        if need.needs_primary:
            return self._choose_primary(service, now)
        required = require_position(
            need.route,
            evidence,
            need.mark,
            need.arrived_at,
        )
        entry = choose_reader(
            self._groups.roster.of_service(service),
            required,
            need.excluded,
            lambda one: self._cost(one, now),
        )
        if entry is None:
            return self._choose_primary(service, now)
        return Choice(entry, required)

    def _choose_primary(self, service: str, now: float) -> Choice | None:
        found = self._groups.find_primary(service, now)
        if found is None:
            return None
        grant, entry = found
        positions = self._groups.evidence(service).positions
        return Choice(entry, positions.get(entry.endpoint_id), grant.term)

    def _cost(self, entry: EndpointEntry, now: float) -> float:
        expected = self._latencies.expect(entry, now)
        grant = self._groups.evidence(entry.service).grant
        if grant is not None and grant.endpoint_id == entry.endpoint_id:
            expected *= _PRIMARY_COST
        return expected * (1 + self._lending.load_of(entry))
