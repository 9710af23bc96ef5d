"""Drains a VM's proxies once the platform lists the VM as leaving."""

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
_JITTER_FACTORS = (0.8, 1.2)
_CAUSE = 'the platform lists the VM as leaving'


@final
class LeavingService:
    """Polls the VM list and sends drain notices to the VM's proxies.

    Args:
        keeper: The keeper of this VM.
        relay: Publishes messages to the connected proxies.
    """

    def __init__(self, keeper: Keeper, relay: RelayService) -> None:
        self._keeper = keeper
        self._relay = relay
        self._detector = LeavingDetector(keeper.options.name)
        self._recorder = EventRecorder(keeper.journal)

    @property
    def is_leaving(self) -> bool:
        """Whether the platform has listed this VM as leaving."""
        return self._detector.detected_at is not None

    async def run(self) -> None:
        """Poll until cancelled; repeat the notice for proxies that connect."""
        while True:
            await self._poll()
            if self.is_leaving:
                self._relay.publish(
                    DrainNotice(self._keeper.options.name, _CAUSE),
                )
            delay = _POLL_INTERVAL_S * random.uniform(*_JITTER_FACTORS)
            await anyio.sleep(delay)

    async def _poll(self) -> None:
        store = self._keeper.options.store
        if store is None:
            return
        try:
            machines = await store.list_machines()
        except StoreUnavailableError:
            return
        if self._detector.update(machines, anyio.current_time()):
            self._keeper.fleet.leave()
            self._recorder.record(
                Event(
                    'machine_leaving',
                    self._keeper.options.name,
                    _CAUSE,
                    'drain notices are sent to the proxies of the VM',
                ),
            )
