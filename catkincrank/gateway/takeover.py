"""Takeover of the failover lease from a holder that has become silent."""

import random
import secrets
from dataclasses import dataclass
from typing import final

import anyio

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import FLEET_TABLE, HolderRecord
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.leaserows import HeldLease, plan_takeover
from catkincrank.gateway.rowstore import Revision, RowStore
from catkincrank.logs import log_event
from catkincrank.relaytree import rank_names

__all__ = ('LeaseTakeover', 'Takeover')

# The lease expires without a heartbeat for this long, in seconds: three
# intervals and the time that a slow store takes.
_LEASE_TIMEOUT_S = 3.0
# Contenders take over one after another at this interval, in seconds, so that
# most learn of a takeover before their turn.
_TURN_S = 0.12
_MAX_TURNS = 25
# Without a holder before, the members are not known either.
_FIRST_TURNS = 5
# After the store has been restored, the holder of the earlier era goes first:
# it knows all that it did and need not wait for itself.
_RESTORED_DELAY_S = 1.0


@final
@dataclass(frozen=True, slots=True)
class Takeover:
    """A takeover of the lease.

    Attributes:
        held: The lease.
        previous: Name of the holder before; empty if there was none or if its
            process has ended.
        heartbeat_at: When the last heartbeat before was received, in seconds.
        is_first_of_era: Whether the holder before is of an earlier era.
        is_continued: Whether this process held the lease in the earlier era
            until the store was restored.
        is_first: Whether no process held the lease before.
    """

    held: HeldLease
    previous: str
    heartbeat_at: float
    is_first_of_era: bool
    is_continued: bool
    is_first: bool = False


@final
class LeaseTakeover:
    """Takes over the lease once its holder is silent.

    Args:
        store: The platform's store.
        fleet: State of the fleet's table.

    Attributes:
        continues_until: Until then, a process that took over from this one
            unnoticed has promoted nothing, as it waits for grants that this
            one may have extended.
    """

    __slots__ = ('_fleet', '_store', 'continues_until')

    def __init__(self, store: RowStore, fleet: FleetState) -> None:
        self._store = store
        self._fleet = fleet
        self.continues_until: float = 0

    def find_next_check(self, now: float) -> float:
        """Return when the holder may next be found silent."""
        if self._is_vacant:
            return now
        return self._fleet.holder_heartbeat_at + _LEASE_TIMEOUT_S

    async def attempt(self) -> Takeover | None:
        """Take over if the holder is silent; return ``None`` if it is not."""
        if not self._is_holder_silent():
            return None
        era = self._fleet.era
        await anyio.sleep(self._choose_delay())
        if not (self._is_holder_silent() and await self._confirm_silence()):
            return None
        # After a restoration the holder of the earlier era goes first.
        return await self._take_over() if self._fleet.era == era else None

    @property
    def _is_restored(self) -> bool:
        """Whether the holder's row is from before the store was restored."""
        holder = self._fleet.holder
        return holder is not None and holder[1].era < self._fleet.era

    @property
    def _is_vacant(self) -> bool:
        """Whether no other process can be acting under the holder's row."""
        holder = self._fleet.holder
        if holder is None or self._is_restored:
            return True
        # The holder was an earlier process on this VM.
        return holder[1].name == self._fleet.own_member.name

    def _is_holder_silent(self) -> bool:
        """Return whether there is no holder or its heartbeats have stopped."""
        if self._is_vacant:
            return self._fleet.copy.is_loaded
        expired_at = self._fleet.holder_heartbeat_at + _LEASE_TIMEOUT_S
        return anyio.current_time() > expired_at

    def _is_silence_confirmed(self) -> bool:
        """Return whether the store itself was read after the lease time-out."""
        if self._is_vacant:
            return True
        expired_at = self._fleet.holder_heartbeat_at + _LEASE_TIMEOUT_S
        return self._fleet.copy.store_read_at > expired_at

    async def _confirm_silence(self) -> bool:
        """Read the store; return whether it shows no newer heartbeat."""
        if not self._is_silence_confirmed():
            await self._fleet.copy.try_reload()
        return self._is_holder_silent() and self._is_silence_confirmed()

    def _choose_delay(self) -> float:
        """Return how long to wait before a takeover, in seconds."""
        now = anyio.current_time()
        if not self._is_restored:
            return self._find_turn() * _TURN_S
        if now < self.continues_until:
            return 0
        first_at = self._fleet.era_began_at + _RESTORED_DELAY_S
        return self._find_turn() * _TURN_S + max(0, first_at - now)

    def _find_turn(self) -> int:
        """Return how many contenders go before this process.

        The order changes with each takeover, so that a contender that cannot
        reach the store does not hold up the others again.
        """
        fleet = self._fleet
        own_name = fleet.own_member.name
        holder = fleet.holder
        if holder is None:
            return random.randrange(_FIRST_TURNS)
        if holder[1].name == own_name:
            return 0
        names = rank_names(str(holder[0]), {*fleet.members, own_name})
        return min(names.index(own_name), _MAX_TURNS)

    async def _take_over(self) -> Takeover | None:
        fleet = self._fleet
        previous = fleet.holder
        heartbeat_at = fleet.holder_heartbeat_at
        is_continued = anyio.current_time() < self.continues_until
        own = fleet.own_member
        record = HolderRecord(
            own.name,
            own.incarnation,
            secrets.token_hex(8),
            fleet.era,
            own.features,
        )
        held = await self._write(previous, record)
        if held is None:
            return None
        name, era = '', 0
        if previous is not None:
            name, era = previous[1].name, previous[1].era
        return Takeover(
            held,
            '' if name == own.name else name,
            heartbeat_at,
            is_first_of_era=era < held.revision.era,
            is_continued=is_continued,
            # A copy from before the first takeover lacks the holder's row too.
            is_first=previous is None and not held.revision.era,
        )

    async def _write(
        self,
        previous: tuple[Revision, HolderRecord] | None,
        record: HolderRecord,
    ) -> HeldLease | None:
        plan = plan_takeover(previous, record)
        try:
            written = await self._store.write(
                FLEET_TABLE, plan.conditions, plan.bodies, plan.removed
            )
        except ConflictError:
            return None
        except StoreUnavailableError as error:
            log_event('takeover_unanswered', 'WARNING', cause=str(error))
            return await self._find_written(record)
        if written.era == record.era:
            return HeldLease(record, written)
        # The store was restored between the reading and the write.
        return await self._find_written(record)

    async def _find_written(self, record: HolderRecord) -> HeldLease | None:
        """Return the lease if a takeover in doubt took effect."""
        fleet = self._fleet
        if not await fleet.copy.try_reload() or fleet.holder is None:
            return None
        revision, found = fleet.holder
        if found != record or revision.era != record.era:
            return None
        return HeldLease(record, revision)
