"""Exchanges readings of the store's tables between processes.

The lease holder reads the store and the other processes poll it, directly or
through other processes, as calls to the store are limited and charged for. A
process that gets no fresh reading this way reads the store itself and polls
other peers, so that it stays up to date even if the store refuses its calls.
"""

import random
from typing import final

import anyio

from catkincrank.errors import MessageError
from catkincrank.gateway.failoverlease import FailoverLease
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.peermessages import (
    ChangeNotice,
    TableQuery,
    TableReplies,
    TableReply,
    TableVersion,
)
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.rowpacking import RowPacker, unpack_row
from catkincrank.gateway.rowstore import Changes, Revision
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.logs import log_event

__all__ = ('TableRelay',)

# Interval between polls, in seconds: five polls per grant.
_POLL_INTERVAL_S = 0.5
# The same for a process that others poll.
_RELAY_INTERVAL_S = 0.25
# The same while a revoked grant needs a newer reading, and the least time for
# each process that polls the same relay: a relay answers about 100 a second.
_URGENT_INTERVAL_S = 0.1
_URGENT_SPACING_S = 0.01
# A source that did not answer is not polled for this time, in seconds.
_AVOIDANCE_S = 2.0
# Sources that are tried before the store is read.
_MAX_SOURCES = 2
# A process that has not polled for this long is not reported as heard.
_HEARD_WITHIN_S = 1.5
_ASK_TIMEOUT_S = 0.4
# Share of the greatest accepted age of a reading from which on other peers are
# polled too.
_STALE_SHARE = 0.8
_STALE_PEER_COUNT = 2
_NOTICE_TIMEOUT_S = 0.3
_NEVER_READ = -1.0


@final
class TableRelay:
    """Exchanges table readings with peers.

    Args:
        copies: Local copies of the tables.
        fleet: State of the fleet's table, which lists the peers.
        lease: Lease on the failover duty, whose holder may extend grants.
        client: Sends requests to peers.
    """

    __slots__ = (
        '_avoided_until',
        '_client',
        '_copies',
        '_fleet',
        '_lease',
        '_packer',
        '_wake',
    )

    def __init__(
        self,
        copies: tuple[TableCopy, ...],
        fleet: FleetState,
        lease: FailoverLease,
        client: PeerClient,
    ) -> None:
        self._copies = {copy.table: copy for copy in copies}
        self._fleet = fleet
        self._lease = lease
        self._client = client
        self._packer = RowPacker()
        self._wake = anyio.Event()
        self._avoided_until: dict[str, float] = {}

    def wake(self) -> None:
        """Poll at once."""
        self._wake.set()

    async def answer(self, query: TableQuery) -> TableReplies:
        """Return the newest readings of the tables in a peer's query."""
        self._fleet.heartbeats.record(query.name)
        for name in query.heard:
            self._fleet.heartbeats.record_relayed(name)
        now = anyio.current_time()
        return TableReplies(
            tuple(
                self._describe(self._copies[known.table], known, now, query)
                for known in query.places
                if known.table in self._copies
            ),
        )

    async def answer_notice(self, _notice: ChangeNotice) -> ChangeNotice:
        """Poll at once after a change notice."""
        self.wake()
        return ChangeNotice(self._fleet.own_member.name)

    async def notify_peers(self) -> None:
        """Send a change notice to every peer."""
        await self._client.ask_all(
            self._fleet.list_others(),
            ChangeNotice(self._fleet.own_member.name),
            _NOTICE_TIMEOUT_S,
        )

    async def run(self) -> None:
        """Poll periodically until cancelled."""
        while True:
            with anyio.move_on_after(self._find_interval()):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self._lease.is_held:
                self._extend_grants()
            is_served = not self._lease.is_held and await self._ask_sources()
            for copy in self._copies.values():
                copy.allow_skipping(is_allowed=is_served)
            if self._is_stale():
                await self._ask_others()

    def _find_interval(self) -> float:
        """Return the time until the next poll, in seconds."""
        tree = self._fleet.tree
        own_name = self._fleet.own_member.name
        is_relay = tree.is_relay(own_name)
        if self._fleet.grants.awaits_reading:
            spacing_s = _URGENT_SPACING_S * tree.count_dependants(own_name)
            return max(_URGENT_INTERVAL_S, 0 if is_relay else spacing_s)
        return _RELAY_INTERVAL_S if is_relay else _POLL_INTERVAL_S

    def _describe(
        self,
        copy: TableCopy,
        known: TableVersion,
        now: float,
        query: TableQuery,
    ) -> TableReply:
        if not copy.is_loaded:
            return TableReply(copy.table, 0, _NEVER_READ)
        changes = copy.list_changes(Revision(known.era, known.version))
        rows = tuple(
            self._packer.pack(
                copy.table, row, may_compress=query.accepts_compressed
            )
            for row in changes.rows
        )
        is_current = copy is self._fleet.copy and self._lease.may_extend_grants(
            now
        )
        age_s = 0 if is_current else now - copy.read_at
        return TableReply(
            copy.table,
            changes.revision.version,
            age_s,
            rows,
            changes.revision.era,
            changes.is_whole,
            copy.reading_s,
        )

    def _extend_grants(self) -> None:
        """Renew the own grants while no other process can replace a primary."""
        copy = self._fleet.copy
        now = anyio.current_time()
        if self._lease.may_extend_grants(now):
            copy.merge_reading(Changes((), copy.revision), now)

    def _is_stale(self) -> bool:
        """Return whether a reading is about to be too old."""
        now = anyio.current_time()
        return any(
            now - copy.read_at > copy.max_age_s * _STALE_SHARE
            for copy in self._copies.values()
        )

    async def _ask_sources(self) -> bool:
        """Poll a source of the reading tree; return whether one answered."""
        now = anyio.current_time()
        sources = [
            source
            for source in self._fleet.tree.list_sources(
                self._fleet.own_member.name
            )
            if self._avoided_until.get(source.name, 0) <= now
        ]
        for source in sources[:_MAX_SOURCES]:
            if await self._ask(source):  # noqa: WPS476
                return True
            self._avoided_until[source.name] = (
                anyio.current_time() + _AVOIDANCE_S
            )
        return False

    async def _ask_others(self) -> None:
        others = self._fleet.list_others()
        chosen = random.sample(others, min(_STALE_PEER_COUNT, len(others)))
        async with anyio.create_task_group() as tasks:
            for member in chosen:
                tasks.start_soon(self._ask, member)

    async def _ask(self, member: MemberRecord) -> bool:
        """Poll a peer and merge its readings; return whether it answered."""
        sent_at = anyio.current_time()
        query = TableQuery(
            self._fleet.own_member.name,
            tuple(
                TableVersion(
                    copy.table, copy.revision.version, copy.revision.era
                )
                for copy in self._copies.values()
            ),
            self._fleet.heartbeats.list_direct(sent_at - _HEARD_WITHIN_S),
            accepts_compressed=True,
        )
        found = await self._client.ask(member, query, _ASK_TIMEOUT_S)
        if not isinstance(found, TableReplies):
            return False
        for reply in found.replies:
            self._merge(reply, sent_at, member)
        return True

    def _merge(
        self, reply: TableReply, sent_at: float, member: MemberRecord
    ) -> None:
        copy = self._copies.get(reply.table)
        if copy is None or reply.age_s < 0:
            return
        try:
            changes = _as_changes(reply)
        except MessageError as error:
            log_event(
                'reading_unreadable',
                'WARNING',
                table=reply.table,
                peer=member.name,
                cause=str(error),
            )
            return
        copy.merge_reading(changes, sent_at - reply.age_s, reply.reading_s)


def _as_changes(reply: TableReply) -> Changes:
    rows = tuple(unpack_row(row, reply.era) for row in reply.rows)
    return Changes(rows, Revision(reply.era, reply.version), reply.is_whole)
