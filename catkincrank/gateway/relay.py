"""Tells peers what this process has read of the store, and asks them."""

import random
from typing import final

import anyio

from catkincrank.gateway.fleetrecords import MemberRecord
from catkincrank.gateway.ledger import GRANT_S, Ledger
from catkincrank.gateway.peermessages import TableQuery, TableReply, TableRow
from catkincrank.gateway.peers import ask_peer
from catkincrank.gateway.revocation import EXTENSION_S
from catkincrank.gateway.rowstore import Changes, RowChange
from catkincrank.gateway.tablecopy import TableCopy
from catkincrank.gateway.tenure import Tenure

__all__ = ('TableRelay',)

# The store's answers are late by then, and a third of a grant is used up.
_STALE_S = 1.6
_STEP_S = 0.3
_ASK_TIMEOUT_S = 0.3
# Peers asked at once while the store does not answer.
_ASKED = 2
_NEVER_READ = -1.0


@final
class TableRelay:
    """Carries readings of the store between processes.

    Args:
        copies: Copies of tables.
        ledger: The fleet's table, which names the peers.
        tenure: Whether this process may vouch for that table.
    """

    __slots__ = ('_copies', '_ledger', '_tenure')

    def __init__(
        self,
        copies: tuple[TableCopy, ...],
        ledger: Ledger,
        tenure: Tenure,
    ) -> None:
        self._copies = {copy.table: copy for copy in copies}
        self._ledger = ledger
        self._tenure = tenure

    async def answer(self, query: TableQuery) -> TableReply:
        """Tell a peer what is known of a table."""
        copy = self._copies.get(query.table)
        if copy is None or not copy.is_loaded:
            return TableReply(query.table, 0, _NEVER_READ)
        rows = tuple(
            TableRow(row.key, row.version, row.body or b'', row.body is None)
            for row in copy.list_changes(query.version)
        )
        age_s = self._find_age(copy, anyio.current_time())
        return TableReply(query.table, copy.version, age_s, rows)

    async def run(self) -> None:
        """Ask peers while the store does not answer, until cancelled."""
        while True:
            await anyio.sleep(_STEP_S)
            self._vouch()
            now = anyio.current_time()
            for copy in self._copies.values():
                if now - copy.read_at > _STALE_S:
                    await self._ask_peers(copy)  # noqa: WPS476

    def _vouch(self) -> None:
        """Renew the own grants while nobody else can replace a primary."""
        copy = self._ledger.copy
        now = anyio.current_time()
        if self._may_vouch(now) and now - copy.read_at > _STALE_S:
            copy.learn(Changes((), copy.version), now)

    def _find_age(self, copy: TableCopy, now: float) -> float:
        if copy is self._ledger.copy and self._may_vouch(now):
            return 0
        return now - copy.read_at

    def _may_vouch(self, now: float) -> bool:
        """Return whether the holder's word stands for the store's."""
        if not (self._tenure.is_mine and self._tenure.is_settled):
            return False
        if self._ledger.floor > self._tenure.token:
            return False
        direct_at = self._ledger.copy.direct_at
        return now < direct_at + EXTENSION_S - GRANT_S

    async def _ask_peers(self, copy: TableCopy) -> None:
        me = self._ledger.me.name
        others = [
            member
            for member in self._ledger.members.values()
            if member.name != me
        ]
        chosen = random.sample(others, min(_ASKED, len(others)))
        holder = self._ledger.holder
        if holder is not None and copy is self._ledger.copy:
            chosen.extend(
                one
                for one in others
                if one.name == holder[1].name and one not in chosen
            )
        async with anyio.create_task_group() as tasks:
            for member in chosen:
                tasks.start_soon(self._ask, member, copy)

    async def _ask(self, member: MemberRecord, copy: TableCopy) -> None:
        sent_at = anyio.current_time()
        query = TableQuery(copy.table, copy.version)
        reply = await ask_peer(member, query, _ASK_TIMEOUT_S)
        if not isinstance(reply, TableReply) or reply.age_s < 0:
            return
        rows = tuple(
            RowChange(
                row.key,
                None if row.is_removed else bytes(row.body),
                row.version,
            )
            for row in reply.rows
        )
        copy.learn(Changes(rows, reply.version), sent_at - reply.age_s)
