"""Deletes request keys whose time is over."""

import random
import time
from typing import final

import anyio

from catkincrank.catalog import Catalog
from catkincrank.endpoint import StatementError
from catkincrank.errors import EndpointError
from catkincrank.leases import Leases
from catkincrank.logs import log_event
from catkincrank.primary import PrimaryFinder
from catkincrank.request import Request
from catkincrank.requestkeys import PRUNE_BATCH_ROWS, RequestKeys
from catkincrank.sessionoptions import OptionValues
from catkincrank.settings import Service
from catkincrank.statement import classify
from catkincrank.verdict import RequestError

__all__ = ('KeyPruner',)

_SHORTEST_INTERVAL_S = 30.0
_LONGEST_INTERVAL_S = 90.0
_BATCH_PAUSE_S = 0.5
_BATCH_LIMIT_S = 5.0
_COMMENT = classify('')


@final
class KeyPruner:
    """Deletes request keys that are older than their service keeps them.

    Only groups that this proxy has written keys for are looked after, each
    about once a minute, in small batches.

    Args:
        catalog: Services in force.
        leases: Connections.
        primaries: Leases connections to primaries.
    """

    __slots__ = ('_catalog', '_keys', '_leases', '_primaries', '_used')

    def __init__(
        self,
        catalog: Catalog,
        leases: Leases,
        primaries: PrimaryFinder,
    ) -> None:
        self._catalog = catalog
        self._leases = leases
        self._primaries = primaries
        self._keys = RequestKeys(leases)
        self._used: set[str] = set()

    def record_use(self, group: str) -> None:
        """Note that a request key of ``group`` was written."""
        self._used.add(group)

    async def run(self) -> None:
        """Prune until cancelled."""
        while True:
            pause = random.uniform(_SHORTEST_INTERVAL_S, _LONGEST_INTERVAL_S)
            await anyio.sleep(pause)
            for group in sorted(self._used):
                await self.prune(group)  # noqa: WPS476
            self._used.clear()

    async def prune(self, group: str) -> int:
        """Delete a group's old keys; return how many went."""
        deleted = 0
        while True:
            count = await self._prune_batch(group)
            deleted += count
            if count < PRUNE_BATCH_ROWS:
                break
            await anyio.sleep(_BATCH_PAUSE_S)
        if deleted:
            log_event('request_keys_pruned', group=group, count=deleted)
        return deleted

    async def _prune_batch(self, group: str) -> int:
        service = self._catalog.find(group)
        if service is None:
            return 0
        before = int(time.time() - service.limits.key_retention_s)
        with anyio.move_on_after(_BATCH_LIMIT_S):
            try:
                return await self._delete(group, service, before)
            except (EndpointError, StatementError, RequestError) as error:
                log_event(
                    'request_keys_kept',
                    'WARNING',
                    group=group,
                    cause=str(error),
                )
        return 0

    async def _delete(self, group: str, service: Service, before: int) -> int:
        now = anyio.current_time()
        request = Request(group, service, _COMMENT, (), OptionValues(), now)
        request.deadline_at = now + _BATCH_LIMIT_S
        lease = await self._primaries.lease(request)
        try:
            count = await self._keys.prune(lease, before)
        except StatementError:
            await self._leases.release(lease)
            raise
        await self._leases.release(lease)
        return count
