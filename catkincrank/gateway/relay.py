"""Spreads readings of the store between processes.

The holder reads the store; the others ask the holder, since calls to the store
are few and dear. Who gets no fresh reading that way reads the store itself and
asks other peers, so that a process that the store turns away stays informed.
"""

import random
from typing import final

import anyio

from catkincrank.gateway.failoverlease import Tenure
from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.fleetstate import Ledger
from catkincrank.gateway.peermessages import (
    Nudge,
    TablePlace,
    TableQuery,
    TableReplies,
    TableReply,
    TableRow,
)
from catkincrank.gateway.peers import PeerClient
from catkincrank.gateway.rowstore import Changes, RowChange
from catkincrank.gateway.tablecopy import TableCopy

__all__ = ('TableRelay',)

# How often the holder is asked, in seconds: five times within a grant.
_INTERVAL_S = 0.5
_ASK_TIMEOUT_S = 0.4
# Other peers are asked once a reading is this old, in seconds.
_STALE_S = 1.2
_ASKED = 2
_NUDGE_TIMEOUT_S = 0.3
_NEVER_READ = -1.0


@final
class TableRelay:
    """Carries readings of the store between processes.

    Args:
        copies: Copies of tables.
        ledger: The fleet's table, which names the peers.
        tenure: Whether this process may vouch for that table.
        client: Asks peers.
    """

    __slots__ = ('_client', '_copies', '_ledger', '_nudged', '_tenure')

    def __init__(
        self,
        copies: tuple[TableCopy, ...],
        ledger: Ledger,
        tenure: Tenure,
        client: PeerClient,
    ) -> None:
        self._copies = {copy.table: copy for copy in copies}
        self._ledger = ledger
        self._tenure = tenure
        self._client = client
        self._nudged = anyio.Event()

    async def answer(self, query: TableQuery) -> TableReplies:
        """Tell a peer what is known of tables."""
        self._ledger.hear(query.name)
        now = anyio.current_time()
        return TableReplies(
            tuple(
                self._describe(self._copies[place.table], place, now)
                for place in query.places
                if place.table in self._copies
            ),
        )

    async def answer_nudge(self, _nudge: Nudge) -> Nudge:
        """Ask the holder at once: it has news."""
        self._nudged.set()
        return Nudge(self._ledger.me.name)

    async def nudge_all(self) -> None:
        """Tell every peer that there is news."""
        await self._client.ask_all(
            self._ledger.list_others(),
            Nudge(self._ledger.me.name),
            _NUDGE_TIMEOUT_S,
        )

    async def run(self) -> None:
        """Ask the holder again and again, until cancelled."""
        while True:
            with anyio.move_on_after(_INTERVAL_S):
                await self._nudged.wait()
            self._nudged = anyio.Event()
            if self._tenure.is_mine:
                self._vouch()
            is_fed = not self._tenure.is_mine and await self._ask_holder()
            for copy in self._copies.values():
                copy.may_rest = is_fed
            if self._find_oldest() > _STALE_S:
                await self._ask_others()

    def _describe(
        self,
        copy: TableCopy,
        place: TablePlace,
        now: float,
    ) -> TableReply:
        if not copy.is_loaded:
            return TableReply(copy.table, 0, _NEVER_READ)
        rows = tuple(
            TableRow(row.key, row.version, row.body or b'', row.body is None)
            for row in copy.list_changes(place.version)
        )
        is_vouched = copy is self._ledger.copy and self._tenure.may_vouch(now)
        age_s = 0 if is_vouched else now - copy.read_at
        return TableReply(copy.table, copy.version, age_s, rows)

    def _vouch(self) -> None:
        """Renew the own grants while nobody else can replace a primary."""
        copy = self._ledger.copy
        now = anyio.current_time()
        if self._tenure.may_vouch(now):
            copy.learn(Changes((), copy.version), now)

    def _find_oldest(self) -> float:
        now = anyio.current_time()
        return max(now - copy.read_at for copy in self._copies.values())

    async def _ask_holder(self) -> bool:
        """Ask the holder; return whether it answered."""
        holder = self._ledger.holder
        if holder is None:
            return False
        member = self._ledger.members.get(holder[1].name)
        if member is None or member.name == self._ledger.me.name:
            return False
        return await self._ask(member)

    async def _ask_others(self) -> None:
        others = self._ledger.list_others()
        chosen = random.sample(others, min(_ASKED, len(others)))
        async with anyio.create_task_group() as tasks:
            for member in chosen:
                tasks.start_soon(self._ask, member)

    async def _ask(self, member: MemberRecord) -> bool:
        """Ask a peer; return whether it answered."""
        sent_at = anyio.current_time()
        query = TableQuery(
            self._ledger.me.name,
            tuple(
                TablePlace(copy.table, copy.version)
                for copy in self._copies.values()
            ),
        )
        found = await self._client.ask(member, query, _ASK_TIMEOUT_S)
        if not isinstance(found, TableReplies):
            return False
        for reply in found.replies:
            copy = self._copies.get(reply.table)
            if copy is not None and reply.age_s >= 0:
                copy.learn(_as_changes(reply), sent_at - reply.age_s)
        return True


def _as_changes(reply: TableReply) -> Changes:
    rows = tuple(
        RowChange(
            row.key,
            None if row.is_removed else bytes(row.body),
            row.version,
        )
        for row in reply.rows
    )
    return Changes(rows, reply.version)
