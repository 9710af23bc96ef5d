"""Lease on the failover duty: takeover, heartbeats and loss.

One process of the fleet at a time holds the lease and replaces primaries. Log
lines and metrics call it the duty.
"""

from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    HEARTBEAT_KEY,
    encode_record,
)
from catkincrank.gateway.fleetstate import FleetState
from catkincrank.gateway.grants import GRANT_DURATION_S
from catkincrank.gateway.leaserows import HeldLease
from catkincrank.gateway.revocation import HOLDER_EXTENSION_S, Revocation
from catkincrank.gateway.rowstore import Changes, RowStore
from catkincrank.gateway.takeover import LeaseTakeover, Takeover
from catkincrank.logs import log_event

__all__ = ('FailoverLease',)

# Interval of the holder's heartbeats, in seconds: three per grant, as each
# heartbeat renews the grants that other processes get from the holder.
_HEARTBEAT_INTERVAL_S = 0.8
_STEP_INTERVAL_S = 0.2
# Longest interval between two checks of the holder, in seconds.
_MAX_CHECK_INTERVAL_S = 0.4
_SETTLED_POLL_S = 0.05
# Members poll the holder twice a second. A member that has not polled for this
# long is removed; it registers again if it is still running.
_MEMBER_TIMEOUT_S = 6.0
_PRUNE_INTERVAL_S = 1.0
# A confirmation that took longer than this, a third of the lease time-out, is
# not accepted and has to be requested again.
_CONFIRM_LIMIT_S = 1.0
# A promotion that an unknown holder of the earlier era confirmed just before
# takes effect within this time.
_PROMOTION_LIMIT_S = _CONFIRM_LIMIT_S + 1.0


@final
class FailoverLease:  # noqa: WPS214
    """Acquires and renews the failover lease, and detects its loss.

    Args:
        store: The platform's store.
        fleet: State of the fleet's table.
        revocation: Revokes the grants of other processes.

    Attributes:
        held: The lease; ``None`` while this process does not hold it.
        is_settled: Whether no grant from an earlier holder is valid.
        may_confirm: Whether what is known of the groups from before the store
            was restored is complete, so that their rows may be confirmed.
        knows_all: Whether no other process held the lease just before that.
        is_first: Whether no process held the lease before.
        is_succeeding_itself: Whether a process of this VM that has ended held
            the lease before, in the same era.
        is_first_of_era: Whether it was taken over in an earlier era before.
        taken_at: When the last takeover was known to have been written.
    """

    __slots__ = (
        '_confirmed_at',
        '_fleet',
        '_heartbeat_at',
        '_is_refused',
        '_pruned_at',
        '_revocation',
        '_settled_at',
        '_store',
        '_takeover',
        '_taken_over',
        'held',
        'is_first',
        'is_first_of_era',
        'is_settled',
        'is_succeeding_itself',
        'knows_all',
        'may_confirm',
        'taken_at',
    )

    def __init__(
        self,
        store: RowStore,
        fleet: FleetState,
        revocation: Revocation,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._revocation = revocation
        self._heartbeat_at: float = 0
        self._confirmed_at: float = 0
        self._pruned_at: float = 0
        self._settled_at: float = 0
        self._takeover = LeaseTakeover(store, fleet)
        self._taken_over = anyio.Event()
        # Whether the store has just refused a write of the holder.
        self._is_refused = False
        self.held: HeldLease | None = None
        self.is_settled = False
        self.may_confirm = False
        self.knows_all = False
        self.is_first = False
        self.is_first_of_era = False
        self.is_succeeding_itself = False
        self.taken_at: float = 0

    @property
    def token(self) -> int:
        """Fencing token; 0 while this process does not hold the lease."""
        return 0 if self.held is None else self.held.token

    @property
    def confirmed_at(self) -> float:
        """When the last heartbeat that the store confirmed was sent.

        Any later takeover was written after that time.
        """
        return self._confirmed_at

    @property
    def is_held(self) -> bool:
        """Whether this process holds the lease, as far as it knows."""
        holder = self._fleet.holder
        if self.held is None or holder is None or self._is_refused:
            return False
        newest = max(holder[0], self._fleet.grants.takeover_revision)
        if self._is_lease_of_earlier_era():
            return False
        return newest <= self.held.revision

    def may_extend_grants(self, now: float) -> bool:
        """Return whether grants may be extended without reading the store."""
        if not (self.is_held and self.is_settled):
            return False
        return now < self._confirmed_at + HOLDER_EXTENSION_S - GRANT_DURATION_S

    async def wait_held(self) -> None:
        """Wait until this process holds the lease."""
        while not self.is_held:
            # A takeover counts once the table has been read again.
            limit_s = _STEP_INTERVAL_S if self.held else None
            with anyio.move_on_after(limit_s):
                await self._taken_over.wait()

    def step_down(self, cause: str) -> None:
        """Stop acting as the lease holder."""
        if self.held is not None:
            log_event('duty_lost', token=self.token, cause=cause)
        self.held = None
        self.is_settled = False
        self.may_confirm = False
        self.knows_all = False

    async def wait_settled(self) -> bool:
        """Wait until the lease is settled; return whether it is still held."""
        while self.is_held and not self.is_settled:
            await anyio.sleep(_SETTLED_POLL_S)
        return self.is_held

    async def confirm(self) -> bool:
        """Return whether the store has just confirmed this process as holder.

        Another process takes over only after a silence that is longer than the
        confirmation may take, so a call made right after it precedes any call
        of that process.
        """
        asked_at = anyio.current_time()
        await self._send_heartbeat(asked_at)
        is_recent = anyio.current_time() < asked_at + _CONFIRM_LIMIT_S
        return self._confirmed_at == asked_at and self.is_held and is_recent

    async def run(self) -> None:
        """Renew the lease or wait to take it over, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self._find_interval())
                await self._step(tasks)

    def _find_interval(self) -> float:
        """Return the time until the next step, in seconds."""
        if self.held is not None or not self._fleet.is_registered:
            return _STEP_INTERVAL_S
        now = anyio.current_time()
        wait_s = self._takeover.find_next_check(now) - now
        return max(_STEP_INTERVAL_S, min(_MAX_CHECK_INTERVAL_S, wait_s))

    async def _step(self, tasks: TaskGroup) -> None:
        if not self._fleet.is_registered:
            return
        self._check_holder()
        if self.is_held:
            now = anyio.current_time()
            if now >= self._heartbeat_at + _HEARTBEAT_INTERVAL_S:
                await self._send_heartbeat(now)
            await self._prune()
            return
        takeover = await self._takeover.attempt()
        if takeover is not None:
            self._start(takeover, tasks)

    def _check_holder(self) -> None:
        """Step down if the lease was taken over, or may have been lost."""
        if self.held is None or self.is_held:
            return
        if self._is_lease_of_earlier_era():
            if self.is_settled or self.knows_all:
                self._takeover.continues_until = (
                    self._confirmed_at + HOLDER_EXTENSION_S
                )
            self.step_down('the store was restored from a copy')
        else:
            self.step_down('another process took over')

    def _is_lease_of_earlier_era(self) -> bool:
        fleet = self._fleet
        newest_era = max(fleet.era, fleet.earlier.announced_era)
        return newest_era > self.held.revision.era

    def _start(self, takeover: Takeover, tasks: TaskGroup) -> None:
        """Act as the holder after a takeover."""
        held = takeover.held
        self.held = held
        self.is_first = takeover.is_first
        self.is_first_of_era = takeover.is_first_of_era
        self.is_succeeding_itself = not (
            takeover.previous or takeover.is_first_of_era
        )
        self.taken_at = anyio.current_time()
        self.is_settled = False
        self.may_confirm = False
        log_event('duty_taken', token=held.token, era=held.revision.era)
        self._taken_over.set()
        self._taken_over = anyio.Event()
        settle = self._settle
        if takeover.is_first_of_era:
            settle = self._settle_era
        tasks.start_soon(settle, takeover)

    async def _settle(self, takeover: Takeover) -> None:
        """Wait until no grant of the holder before is valid."""
        self.may_confirm = True
        await self._revocation.revoke_holder(
            takeover.held, takeover.previous, takeover.heartbeat_at
        )
        self._finish_settling(takeover.held)

    async def _settle_era(self, takeover: Takeover) -> None:
        """Wait until no grant from before the restoration is valid.

        The copy may lack members, and takeovers of processes that may still
        extend their grants, so the longest possible time is waited for.
        """
        taken_at = anyio.current_time()
        settled_at = taken_at + GRANT_DURATION_S
        await self._revocation.recall(takeover.held)
        if not takeover.is_continued:
            settled_at = taken_at + HOLDER_EXTENSION_S
            await anyio.sleep_until(taken_at + _PROMOTION_LIMIT_S)
        if self.held is takeover.held:
            self.knows_all = takeover.is_continued
            self.may_confirm = True
        await anyio.sleep_until(settled_at)
        self._finish_settling(takeover.held)

    def _finish_settling(self, held: HeldLease) -> None:
        if self.held is held:
            self.is_settled = True
            self._settled_at = anyio.current_time()
            log_event('duty_settled', token=held.token)

    async def _send_heartbeat(self, now: float) -> None:
        self._heartbeat_at = now
        held = self.held
        if held is None:
            return
        copy = self._fleet.copy
        revision = copy.revision
        try:
            written = await self._store.write(
                FLEET_TABLE,
                held.conditions,
                {
                    HEARTBEAT_KEY: encode_record(
                        self._fleet.pruned.make_heartbeat()
                    )
                },
            )
        except ConflictError:
            if self.held is held:
                await self._handle_conflict()
        except StoreUnavailableError as error:
            log_event('beat_failed', 'WARNING', cause=str(error))
        else:
            if written.era > held.revision.era:
                # The copy contained the lease, but may lack rows of groups.
                await copy.try_reload()
                return
            self._confirmed_at = now
            self._fleet.holder_heartbeat_at = now
            # Only the holder changes the rows of groups, and this process held
            # the lease, so its copy was up to date when the call was made.
            copy.merge_reading(Changes((), revision), now)

    async def _handle_conflict(self) -> None:
        """Read why the store refused a write of the holder, and step down.

        Unless the store was restored, another process has taken over.
        """
        self._is_refused = True
        try:  # noqa: WPS501
            await self._fleet.copy.try_reload()
        finally:
            self._check_holder()
            self._is_refused = False

    async def _prune(self) -> None:
        """Remove members that are gone, so that no process waits for them."""
        now = anyio.current_time()
        first_at = self._settled_at + _MEMBER_TIMEOUT_S
        due_at = max(first_at, self._pruned_at + _PRUNE_INTERVAL_S)
        if not self.is_settled or now < due_at:
            return
        self._pruned_at = now
        gone = self._fleet.list_silent(now - _MEMBER_TIMEOUT_S)
        if gone:
            await self._revocation.remove(gone, self.held)
