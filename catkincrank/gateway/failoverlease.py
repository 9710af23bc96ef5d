"""Who of the fleet replaces primaries: takes the duty over and keeps it."""

import random
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import (
    BEAT_KEY,
    FLEET_TABLE,
    HOLDER_KEY,
    HolderRecord,
    encode_record,
)
from catkincrank.gateway.fleetstate import GRANT_DURATION_S, Ledger
from catkincrank.gateway.revocation import EXTENSION_S, Revocation
from catkincrank.gateway.rowstore import Changes, Condition, RowStore
from catkincrank.logs import log_event

__all__ = ('Tenure',)

# The holder writes a sign of life this often, in seconds: three within a
# grant, since each renews what the others learn from it.
_BEAT_S = 0.8
# A holder without a sign of life for this long is replaced: three beats and
# the time that a slow store takes.
_SILENCE_S = 3.0
# Contenders spread their attempts over this time, in seconds.
_SPREAD_S = 0.6
_STEP_S = 0.2
_SETTLED_STEP_S = 0.05
# A member asks twice a second; one that has not for this long is removed. It
# registers again if it lives.
_MEMBER_SILENCE_S = 6.0
_PRUNE_INTERVAL_S = 1.0
# A confirmation that took longer is asked for again: a third of the silence.
_CONFIRM_LIMIT_S = 1.0


@final
class Tenure:  # noqa: WPS214
    """This process's part in the duty to replace primaries.

    Args:
        store: The platform's store.
        ledger: The fleet's table.
        revocation: Makes others give up what they know.

    Attributes:
        token: Fencing token; 0 while another process holds the duty.
        is_settled: Whether nobody acts on an earlier holder's word any more.
    """

    __slots__ = (
        '_beat_at',
        '_confirmed_at',
        '_ledger',
        '_pruned_at',
        '_revocation',
        '_settled_at',
        '_store',
        'is_settled',
        'token',
    )

    def __init__(
        self,
        store: RowStore,
        ledger: Ledger,
        revocation: Revocation,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._revocation = revocation
        self._beat_at: float = 0
        self._confirmed_at: float = 0
        self._pruned_at: float = 0
        self._settled_at: float = 0
        self.token = 0
        self.is_settled = False

    @property
    def is_mine(self) -> bool:
        """Whether this process holds the duty, as far as it knows."""
        holder = self._ledger.holder
        if not self.token or holder is None:
            return False
        return max(holder[0], self._ledger.floor) <= self.token

    def may_vouch(self, now: float) -> bool:
        """Return whether this process's word stands for the store's."""
        if not (self.is_mine and self.is_settled):
            return False
        return now < self._confirmed_at + EXTENSION_S - GRANT_DURATION_S

    def give_up(self, cause: str) -> None:
        """Stop acting as the holder."""
        if self.token:
            log_event('duty_lost', token=self.token, cause=cause)
        self.token = 0
        self.is_settled = False

    async def wait_settled(self) -> bool:
        """Return whether this process holds the duty, once it is settled."""
        while self.is_mine and not self.is_settled:
            await anyio.sleep(_SETTLED_STEP_S)
        return self.is_mine

    async def confirm(self) -> bool:
        """Return whether the store has just named this process the holder.

        Another process takes the duty over only after a silence that is longer
        than the answer may take, so a call made at once comes before its calls.
        """
        asked_at = anyio.current_time()
        await self._beat(asked_at)
        is_recent = anyio.current_time() < asked_at + _CONFIRM_LIMIT_S
        return self._confirmed_at == asked_at and self.is_mine and is_recent

    async def run(self) -> None:
        """Keep the duty or wait to take it over, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(_STEP_S)
                await self._step(tasks)

    async def _step(self, tasks: TaskGroup) -> None:
        if not self._ledger.is_registered:
            return
        self._compare()
        if self.is_mine:
            now = anyio.current_time()
            if now >= self._beat_at + _BEAT_S:
                await self._beat(now)
            await self._prune()
        elif self._is_silent() and await self._look():
            await anyio.sleep(random.uniform(0, _SPREAD_S))
            if self._is_silent() and self._has_looked():
                await self._take_over(tasks)

    def _compare(self) -> None:
        """Notice when the table names another holder."""
        if self.token and not self.is_mine:
            self.give_up('another process took it over')

    def _is_silent(self) -> bool:
        """Return whether no holder is known to live."""
        ledger = self._ledger
        holder = ledger.holder
        if holder is None:
            return ledger.copy.is_loaded
        if holder[1].name == ledger.me.name:
            # The process that held it ran where this one runs now.
            return True
        return anyio.current_time() > ledger.holder_seen_at + _SILENCE_S

    def _has_looked(self) -> bool:
        """Return whether the store itself was read after the silence."""
        holder = self._ledger.holder
        if holder is None or holder[1].name == self._ledger.me.name:
            return True
        silent_at = self._ledger.holder_seen_at + _SILENCE_S
        return self._ledger.copy.direct_at > silent_at

    async def _look(self) -> bool:
        """Read the store; return whether the holder is silent there too."""
        if not self._has_looked():
            await self._ledger.copy.try_reload()
        return self._is_silent() and self._has_looked()

    async def _take_over(self, tasks: TaskGroup) -> None:
        ledger = self._ledger
        version, former = self._find_former()
        seen_at = ledger.holder_seen_at
        me = HolderRecord(ledger.me.name, ledger.me.incarnation)
        try:
            token = await self._store.write(
                FLEET_TABLE,
                [Condition(HOLDER_KEY, version)],
                {HOLDER_KEY: encode_record(me)},
            )
        except ConflictError:
            return
        except StoreUnavailableError as error:
            log_event('takeover_unanswered', 'WARNING', cause=str(error))
            token = await self._recall(me)
        if token:
            self._begin(token)
            tasks.start_soon(self._settle, token, former, seen_at)

    def _find_former(self) -> tuple[int, str]:
        """Return the version of the holder's row, and whom to wait for."""
        holder = self._ledger.holder
        if holder is None:
            return 0, ''
        name = holder[1].name
        return holder[0], '' if name == self._ledger.me.name else name

    async def _recall(self, me: HolderRecord) -> int:
        """Find out whether a write without an answer took effect."""
        if not await self._ledger.copy.try_reload():
            return 0
        holder = self._ledger.holder
        return holder[0] if holder is not None and holder[1] == me else 0

    def _begin(self, token: int) -> None:
        self.token = token
        self.is_settled = False
        log_event('duty_taken', token=token)

    async def _settle(self, token: int, former: str, seen_at: float) -> None:
        await self._revocation.revoke_holder(token, former, seen_at)
        if self.token == token:
            self.is_settled = True
            self._settled_at = anyio.current_time()
            log_event('duty_settled', token=token)

    async def _beat(self, now: float) -> None:
        self._beat_at = now
        token = self.token
        copy = self._ledger.copy
        version = copy.version
        try:
            await self._store.write(
                FLEET_TABLE,
                [Condition(HOLDER_KEY, token)],
                {BEAT_KEY: b'{}'},
            )
        except ConflictError:
            if self.token == token:
                self.give_up('the store names another holder')
        except StoreUnavailableError as error:
            log_event('beat_failed', 'WARNING', cause=str(error))
        else:
            self._confirmed_at = now
            self._ledger.holder_seen_at = now
            # Only the holder changes groups' rows, and it held the duty: what
            # it knew then was the newest.
            copy.learn(Changes((), version), now)

    async def _prune(self) -> None:
        """Remove members that have gone, so that nobody waits for them."""
        now = anyio.current_time()
        first_at = self._settled_at + _MEMBER_SILENCE_S
        due_at = max(first_at, self._pruned_at + _PRUNE_INTERVAL_S)
        if not self.is_settled or now < due_at:
            return
        self._pruned_at = now
        gone = self._ledger.list_unheard(now - _MEMBER_SILENCE_S)
        if gone:
            await self._revocation.remove(gone, self.token)
