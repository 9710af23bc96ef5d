"""Asks the endpoints of a group for the proof that its primary still leads."""

from collections.abc import Iterable
from typing import final

import anyio

from catkincrank.gateway.evidence import Grant
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.link import EndpointState
from catkincrank.gateway.linkprovider import LinkProvider
from catkincrank.gateway.primaryproof import find_objection
from catkincrank.gateway.roster import EndpointEntry
from catkincrank.logs import log_event
from catkincrank.metrics import Metrics

__all__ = ('PrimaryProver',)

# Interval between two rounds for one group; a round serves all statements that
# arrived before it. Each costs an endpoint a moment of a slot.
_ROUND_INTERVAL_S = 0.15
# A busy endpoint answers once its slots are free, usually within 0.1 s.
_ANSWER_LIMIT_S = 0.4


@final
class PrimaryProver:
    """Runs a round of questions when statements need a proof.

    Args:
        groups: Evidence about the groups, which records the proofs.
        link_provider: Provides links to the endpoints.
        metrics: Metrics of the process.
    """

    __slots__ = ('_groups', '_link_provider', '_proofs', '_running')

    def __init__(
        self,
        groups: Groups,
        link_provider: LinkProvider,
        metrics: Metrics,
    ) -> None:
        self._groups = groups
        self._link_provider = link_provider
        self._running: set[str] = set()
        self._proofs = metrics.counter(
            'primary_proofs',
            'Rounds in which endpoints were asked to confirm their primary.',
            ('outcome',),
        )

    async def run(self) -> None:
        """Serve requests for proofs until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                requests = await self._groups.await_proof_requests()
                for service in requests - self._running:
                    self._running.add(service)
                    tasks.start_soon(self._prove_spaced, service)

    async def _prove_spaced(self, service: str) -> None:
        ends_at = anyio.current_time() + _ROUND_INTERVAL_S
        await self._prove(service)
        await anyio.sleep_until(ends_at)
        self._running.discard(service)

    async def _prove(self, service: str) -> None:
        """Ask every endpoint of a group once and record the result."""
        evidence = self._groups.evidence(service)
        grant = evidence.grant
        asked_at = anyio.current_time()
        # Positions that are learned later may be newer than an answer.
        known = dict(evidence.positions)
        members = self._groups.list_members(service, asked_at)
        if not all(map(self._link_provider.is_direct, members)):
            return
        states = await self._query(members)
        now = anyio.current_time()
        if not self._is_needed(service, grant.term, now):
            return
        primary = grant.endpoint_id
        objection = _find_restart(grant, members) or find_objection(
            primary, grant.term, states, known
        )
        self._log_change(service, evidence.proof.objection, objection)
        self._proofs.labels('failed' if objection else 'proved').inc()
        if objection:
            evidence.proof.record_failure(objection, now)
        else:
            evidence.record_proof(asked_at, states[primary].received)
        self._groups.notify_waiters()

    def _is_needed(self, service: str, term: int, now: float) -> bool:
        """Return whether a proof is still of use at the end of its round."""
        evidence = self._groups.evidence(service)
        is_renewed = evidence.find_grant(now) is not None
        if is_renewed or evidence.grant.term != term:
            return False
        return self._groups.may_prove(service, now)

    async def _query(
        self, entries: list[EndpointEntry]
    ) -> dict[str, EndpointState | None]:
        states: dict[str, EndpointState | None] = {}

        async def query(entry: EndpointEntry) -> None:  # noqa: WPS430
            states[entry.endpoint_id] = await self._link_provider.fetch_state(
                entry, _ANSWER_LIMIT_S
            )

        async with anyio.create_task_group() as tasks:
            for entry in entries:
                tasks.start_soon(query, entry)
        return states

    def _log_change(self, service: str, before: str, objection: str) -> None:
        if before == objection:
            return
        if objection:
            log_event('primary_unproved', service=service, cause=objection)
        else:
            log_event('primary_proved', service=service)


def _find_restart(grant: Grant, members: Iterable[EndpointEntry]) -> str:
    """Return that the primary was restarted since its grant, or nothing."""
    is_restarted = any(
        entry.endpoint_id == grant.endpoint_id and not grant.names(entry)
        for entry in members
    )
    return 'the primary was started again' if is_restarted else ''
