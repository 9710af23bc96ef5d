"""Watches the VM list beside a keeper, and drains the VM's proxies."""

import random
from typing import final

import anyio

from catkincrank.drainmessages import DrainNotice
from catkincrank.errors import StoreUnavailableError
from catkincrank.journal import Event
from catkincrank.keeper import Keeper
from catkincrank.leaving import LeavingDetector
from catkincrank.logs import EventRecorder
from catkincrank.relayservice import RelayService

__all__ = ('LeavingService',)

_POLL_INTERVAL_S = 1.5
_JITTER = (0.8, 1.2)
_CAUSE = 'the platform lists the VM as leaving'


@final
class LeavingService:
    """Passes the platform's notice on to the proxies of this VM.

    Args:
        keeper: The keeper.
        relay: Knows the links to the proxies.
    """

    def __init__(self, keeper: Keeper, relay: RelayService) -> None:
        self._keeper = keeper
        self._relay = relay
        self._watch = LeavingDetector(keeper.options.name)
        self._recorder = EventRecorder(keeper.journal)

    @property
    def is_leaving(self) -> bool:
        """Whether the notice has come."""
        return self._watch.detected_at is not None

    async def run(self) -> None:
        """Watch until cancelled; repeat the notice for later proxies."""
        while True:
            await self._poll()
            if self.is_leaving:
                self._relay.publish(
                    DrainNotice(self._keeper.options.name, _CAUSE),
                )
            delay = _POLL_INTERVAL_S * random.uniform(*_JITTER)
            await anyio.sleep(delay)

    async def _poll(self) -> None:
        store = self._keeper.options.store
        if store is None:
            return
        try:
            machines = await store.list_machines()
        except StoreUnavailableError:
            return
        if self._watch.update(machines, anyio.current_time()):
            self._keeper.fleet.leave()
            self._recorder.record(
                Event(
                    'machine_leaving',
                    self._keeper.options.name,
                    _CAUSE,
                    'its proxies are told to drain',
                ),
            )
