"""Who of the fleet replaces primaries: takes the duty over and keeps it."""

import random
from typing import final

import anyio

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import (
    BEAT_KEY,
    FLEET_TABLE,
    HOLDER_KEY,
    HolderRecord,
    encode_record,
)
from catkincrank.gateway.ledger import Ledger
from catkincrank.gateway.revocation import Revocation
from catkincrank.gateway.rowstore import Condition, RowStore
from catkincrank.logs import log_event

__all__ = ('Tenure',)

# The holder writes a sign of life this often, in seconds; each wakes every
# reader of the table, which has to read about as often anyway.
_BEAT_S = 0.8
# A holder without a sign of life for this long is replaced: three beats and
# the time that a slow store takes.
_SILENCE_S = 3.0
# Contenders spread their attempts over this time, in seconds.
_SPREAD_S = 0.6
_STEP_S = 0.2


@final
class Tenure:
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
        '_ledger',
        '_revocation',
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
        self.token = 0
        self.is_settled = False

    @property
    def is_mine(self) -> bool:
        """Whether this process holds the duty, as far as it knows."""
        return self.token > 0

    def give_up(self, cause: str) -> None:
        """Stop acting as the holder."""
        if self.token:
            log_event('duty_lost', token=self.token, cause=cause)
        self.token = 0
        self.is_settled = False

    async def run(self) -> None:
        """Keep the duty or wait to take it over, until cancelled."""
        while True:
            await anyio.sleep(_STEP_S)
            if not self._ledger.is_registered:
                continue
            self._compare()
            if self.is_mine:
                await self._beat()
            elif self._is_vacant():
                await anyio.sleep(random.uniform(0, _SPREAD_S))
                if self._is_vacant():
                    await self._take_over()

    def _compare(self) -> None:
        """Notice when the table names another holder."""
        holder = self._ledger.holder
        if holder is None or not self.is_mine:
            return
        if max(holder[0], self._ledger.floor) > self.token:
            self.give_up('another process took it over')

    def _is_vacant(self) -> bool:
        ledger = self._ledger
        holder = ledger.holder
        if holder is None:
            return ledger.copy.is_loaded
        me = ledger.me
        record = holder[1]
        if record.name == me.name:
            # The process that held it ran where this one runs now.
            return True
        now = anyio.current_time()
        is_fresh = ledger.copy.direct_at > ledger.holder_seen_at + _SILENCE_S
        return is_fresh and now > ledger.holder_seen_at + _SILENCE_S

    async def _take_over(self) -> None:
        ledger = self._ledger
        version = 0 if ledger.holder is None else ledger.holder[0]
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
            await self._recall(me)
            return
        await self._settle(token)

    async def _recall(self, me: HolderRecord) -> None:
        """Find out whether a write without an answer took effect."""
        try:
            await self._ledger.copy.reload()
        except StoreUnavailableError:
            return
        holder = self._ledger.holder
        if holder is not None and holder[1] == me:
            await self._settle(holder[0])

    async def _settle(self, token: int) -> None:
        self.token = token
        self.is_settled = False
        log_event('duty_taken', token=token)
        await self._revocation.revoke_all('', token, anyio.current_time())
        if self.token == token:
            self.is_settled = True
            log_event('duty_settled', token=token)

    async def _beat(self) -> None:
        now = anyio.current_time()
        if now < self._beat_at + _BEAT_S:
            return
        self._beat_at = now
        token = self.token
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
