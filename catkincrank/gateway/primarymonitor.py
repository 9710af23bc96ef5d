"""Watches the primaries while this process holds the duty to replace them."""

from typing import final

import anyio

from catkincrank.gateway.endpointprobe import Inspector
from catkincrank.gateway.failoverlease import Tenure
from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.fleetstate import Ledger
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.peermessages import ReachQuery, ReachReply
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.replacement import Succession
from catkincrank.gateway.suspicion import Cause, Sighting, count_votes, judge
from catkincrank.logs import log_event

__all__ = ('Supervision',)

# Pause between two questions to a primary, in seconds; shorter while one is
# unanswered.
_INTERVAL_S = 0.4
_SUSPECT_INTERVAL_S = 0.1
_VOTE_LIMIT_S = 0.6
# New services are looked for this often, in seconds.
_SURVEY_S = 0.4
# A primary that runs statements is asked for its role this often, in seconds.
_STATE_INTERVAL_S = 2.0


@final
class _Watch:
    """What the holder remembers of one primary."""

    __slots__ = ('asked_at', 'missed', 'missing_since')

    def __init__(self) -> None:
        self.asked_at: float = 0
        self.missed = 0
        self.missing_since: float | None = None


@final
class Supervision:
    """Watches every group.

    Args:
        groups: What is known of the groups.
        ledger: The fleet's table.
        tenure: The duty to replace primaries.
        inspector: Talks to endpoints.
        succession: Carries out replacements.
        client: Asks peers.
    """

    __slots__ = (
        '_client',
        '_groups',
        '_inspector',
        '_ledger',
        '_succession',
        '_tenure',
        '_watched',
    )

    def __init__(
        self,
        groups: Groups,
        ledger: Ledger,
        tenure: Tenure,
        inspector: Inspector,
        succession: Succession,
        client: PeerClient,
    ) -> None:
        self._groups = groups
        self._ledger = ledger
        self._tenure = tenure
        self._inspector = inspector
        self._succession = succession
        self._client = client
        self._watched: set[str] = set()

    async def answer(self, query: ReachQuery) -> ReachReply:
        """Tell a peer whether an endpoint answers this process."""
        entry = self._groups.roster.find(query.endpoint)
        if entry is None:
            return ReachReply(is_reachable=False)
        found = await self._inspector.look(entry)
        return ReachReply(is_reachable=found.is_alive)

    async def run(self) -> None:
        """Watch each group of the catalog, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                catalog = self._groups.catalog
                services = set(catalog.services) if catalog else set()
                for service in services - self._watched:
                    self._watched.add(service)
                    tasks.start_soon(self._watch, service)
                await self._inspector.keep(self._groups.roster.list_entries())
                await anyio.sleep(_SURVEY_S)

    async def _watch(self, service: str) -> None:
        watch = _Watch()
        while True:
            if not self._tenure.is_mine:
                watch = _Watch()
                await anyio.sleep(_INTERVAL_S)
                continue
            await self._inspect(service, watch)
            is_calm = not watch.missed
            await anyio.sleep(_INTERVAL_S if is_calm else _SUSPECT_INTERVAL_S)

    async def _inspect(self, service: str, watch: _Watch) -> None:
        found = self._ledger.records.get(service)
        if found is None:
            await self._succession.record_first(service)
            return
        record = found[1]
        cause = judge(record, await self._look(record, watch))
        if cause is Cause.UNREACHABLE and not await self._confirm(record):
            log_event(
                'primary_partly_reachable',
                service=service,
                endpoint=record.primary,
            )
            watch.missed = 0
            return
        if cause is not None:
            await self._succession.replace(service, cause)
            watch.missed = 0
            watch.missing_since = None

    async def _look(self, record: GroupRecord, watch: _Watch) -> Sighting:
        now = anyio.current_time()
        entry = self._groups.roster.find(record.primary)
        if entry is None:
            return await self._look_at_lapsed(record, watch, now)
        watch.missing_since = None
        if self._has_answered(record, watch, now):
            return Sighting(entry, None, 0, 0)
        found = await self._inspector.look(entry)
        watch.asked_at = now
        watch.missed = 0 if found.is_alive else watch.missed + 1
        return Sighting(entry, found.state, watch.missed, 0)

    async def _look_at_lapsed(
        self,
        record: GroupRecord,
        watch: _Watch,
        now: float,
    ) -> Sighting:
        """Look at a primary whose registration has gone.

        It may have lapsed with the store alone; a primary that does not answer
        either is gone.
        """
        if watch.missing_since is None:
            watch.missing_since = now
        lapsed = self._groups.roster.find_lapsed(record.primary)
        found = None
        if lapsed is not None:
            found = await self._inspector.look(lapsed)
        is_alive = found is not None and found.is_alive
        watch.missed = 0 if is_alive or lapsed is None else watch.missed + 1
        missing_s = now - watch.missing_since
        return Sighting(None, None, watch.missed, missing_s)

    def _has_answered(
        self,
        record: GroupRecord,
        watch: _Watch,
        now: float,
    ) -> bool:
        """Return whether statements show that the primary lives.

        Its own word is asked for now and then all the same.
        """
        evidence = self._groups.evidence(record.service)
        answered_at = evidence.answered_at.get(record.primary, 0)
        is_due = now >= watch.asked_at + _STATE_INTERVAL_S
        is_heard = now < answered_at + _INTERVAL_S
        return is_heard and not (is_due or watch.missed)

    async def _confirm(self, record: GroupRecord) -> bool:
        """Return whether the primary is silent for most, and still is."""
        votes: list[bool] = []

        async def poll() -> None:  # noqa: WPS430
            votes.append(await self._poll_peers(record))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poll)
            entry = self._groups.roster.find(record.primary)
            found = entry and await self._inspector.look(entry)
        is_alive = found is not None and found.is_alive
        return not is_alive and all(votes)

    async def _poll_peers(self, record: GroupRecord) -> bool:
        """Return whether peers agree that the primary cannot be reached."""
        query = ReachQuery(record.service, record.primary)
        answers = await self._client.ask_all(
            self._ledger.list_others(),
            query,
            _VOTE_LIMIT_S,
        )
        return count_votes(
            answer.is_reachable
            for answer in answers.values()
            if isinstance(answer, ReachReply)
        )
