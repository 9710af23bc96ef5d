"""Lease on the failover duty: takeover, heartbeats and loss.

One process of the fleet at a time holds the lease and replaces primaries. Log
lines and metrics call it the duty.
"""

import random
from typing import final

import anyio
from anyio.abc import TaskGroup

from catkincrank.errors import ConflictError, StoreUnavailableError
from catkincrank.gateway.fleetrecords import (
    FLEET_TABLE,
    HEARTBEAT_KEY,
    HOLDER_KEY,
    HolderRecord,
    encode_record,
)
from catkincrank.gateway.fleetstate import GRANT_DURATION_S, FleetState
from catkincrank.gateway.revocation import HOLDER_EXTENSION_S, Revocation
from catkincrank.gateway.rowstore import Changes, Condition, RowStore
from catkincrank.logs import log_event

__all__ = ('FailoverLease',)

# Interval of the holder's heartbeats, in seconds: three per grant, as each
# heartbeat renews the grants that other processes get from the holder.
_HEARTBEAT_INTERVAL_S = 0.8
# The lease expires without a heartbeat for this long, in seconds: three
# intervals and the time that a slow store takes.
_LEASE_TIMEOUT_S = 3.0
# Random delay before a takeover, in seconds, so that contenders do not collide.
_TAKEOVER_JITTER_S = 0.6
_STEP_INTERVAL_S = 0.2
_SETTLED_POLL_S = 0.05
# Members poll the holder twice a second. A member that has not polled for this
# long is removed; it registers again if it is still running.
_MEMBER_TIMEOUT_S = 6.0
_PRUNE_INTERVAL_S = 1.0
# A confirmation that took longer than this, a third of the lease time-out, is
# not accepted and has to be requested again.
_CONFIRM_LIMIT_S = 1.0


@final
class FailoverLease:  # noqa: WPS214
    """Acquires and renews the failover lease, and detects its loss.

    Args:
        store: The platform's store.
        fleet: State of the fleet's table.
        revocation: Revokes the grants of other processes.

    Attributes:
        token: Fencing token; 0 while this process does not hold the lease.
        is_settled: Whether no grant from an earlier holder is valid.
    """

    __slots__ = (
        '_confirmed_at',
        '_fleet',
        '_heartbeat_at',
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
        self.token = 0
        self.is_settled = False

    @property
    def is_held(self) -> bool:
        """Whether this process holds the lease, as far as it knows."""
        holder = self._fleet.holder
        if not self.token or holder is None:
            return False
        return max(holder[0], self._fleet.takeover_version) <= self.token

    def may_extend_grants(self, now: float) -> bool:
        """Return whether grants may be extended without reading the store."""
        if not (self.is_held and self.is_settled):
            return False
        return now < self._confirmed_at + HOLDER_EXTENSION_S - GRANT_DURATION_S

    def step_down(self, cause: str) -> None:
        """Stop acting as the lease holder."""
        if self.token:
            log_event('duty_lost', token=self.token, cause=cause)
        self.token = 0
        self.is_settled = False

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
                await anyio.sleep(_STEP_INTERVAL_S)
                await self._step(tasks)

    async def _step(self, tasks: TaskGroup) -> None:
        if not self._fleet.is_registered:
            return
        self._check_holder()
        if self.is_held:
            now = anyio.current_time()
            if now >= self._heartbeat_at + _HEARTBEAT_INTERVAL_S:
                await self._send_heartbeat(now)
            await self._prune()
        elif self._is_holder_silent() and await self._confirm_silence():
            await anyio.sleep(random.uniform(0, _TAKEOVER_JITTER_S))
            if self._is_holder_silent() and self._is_silence_confirmed():
                await self._take_over(tasks)

    def _check_holder(self) -> None:
        """Step down if the table names another holder."""
        if self.token and not self.is_held:
            self.step_down('another process took over')

    def _is_holder_silent(self) -> bool:
        """Return whether there is no holder or its heartbeats have stopped."""
        fleet = self._fleet
        holder = fleet.holder
        if holder is None:
            return fleet.copy.is_loaded
        if holder[1].name == fleet.own_member.name:
            # The holder was an earlier process on this VM.
            return True
        return (
            anyio.current_time() > fleet.holder_heartbeat_at + _LEASE_TIMEOUT_S
        )

    def _is_silence_confirmed(self) -> bool:
        """Return whether the store itself was read after the lease time-out."""
        holder = self._fleet.holder
        if holder is None or holder[1].name == self._fleet.own_member.name:
            return True
        expired_at = self._fleet.holder_heartbeat_at + _LEASE_TIMEOUT_S
        return self._fleet.copy.store_read_at > expired_at

    async def _confirm_silence(self) -> bool:
        """Read the store; return whether it shows no newer heartbeat."""
        if not self._is_silence_confirmed():
            await self._fleet.copy.try_reload()
        return self._is_holder_silent() and self._is_silence_confirmed()

    async def _take_over(self, tasks: TaskGroup) -> None:
        fleet = self._fleet
        version, previous = self._find_previous()
        heartbeat_at = fleet.holder_heartbeat_at
        own_record = HolderRecord(
            fleet.own_member.name, fleet.own_member.incarnation
        )
        try:
            token = await self._store.write(
                FLEET_TABLE,
                [Condition(HOLDER_KEY, version)],
                {HOLDER_KEY: encode_record(own_record)},
            )
        except ConflictError:
            return
        except StoreUnavailableError as error:
            log_event('takeover_unanswered', 'WARNING', cause=str(error))
            token = await self._find_takeover(own_record)
        if token:
            self._become_holder(token)
            tasks.start_soon(self._settle, token, previous, heartbeat_at)

    def _find_previous(self) -> tuple[int, str]:
        """Return the version of the holder's row and the holder to wait for."""
        holder = self._fleet.holder
        if holder is None:
            return 0, ''
        name = holder[1].name
        return holder[0], '' if name == self._fleet.own_member.name else name

    async def _find_takeover(self, own_record: HolderRecord) -> int:
        """Return the token if an unanswered takeover took effect, or 0."""
        if not await self._fleet.copy.try_reload():
            return 0
        holder = self._fleet.holder
        return (
            holder[0] if holder is not None and holder[1] == own_record else 0
        )

    def _become_holder(self, token: int) -> None:
        self.token = token
        self.is_settled = False
        log_event('duty_taken', token=token)

    async def _settle(
        self, token: int, previous: str, heartbeat_at: float
    ) -> None:
        await self._revocation.revoke_holder(token, previous, heartbeat_at)
        if self.token == token:
            self.is_settled = True
            self._settled_at = anyio.current_time()
            log_event('duty_settled', token=token)

    async def _send_heartbeat(self, now: float) -> None:
        self._heartbeat_at = now
        token = self.token
        copy = self._fleet.copy
        version = copy.version
        try:
            await self._store.write(
                FLEET_TABLE,
                [Condition(HOLDER_KEY, token)],
                {HEARTBEAT_KEY: b'{}'},
            )
        except ConflictError:
            if self.token == token:
                self.step_down('the store names another holder')
        except StoreUnavailableError as error:
            log_event('beat_failed', 'WARNING', cause=str(error))
        else:
            self._confirmed_at = now
            self._fleet.holder_heartbeat_at = now
            # Only the holder changes the rows of groups, and this process held
            # the lease, so its copy was up to date when the call was made.
            copy.merge_reading(Changes((), version), now)

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
            await self._revocation.remove(gone, self.token)
