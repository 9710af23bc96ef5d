"""Fills a feed from a model group, as keepers would."""

from typing import final

import anyio

from catkincrank.feed import Feed
from catkincrank.instance import Observation
from catkincrank.standins.modelgroup import ModelGroup

__all__ = ('ModelObserver',)


@final
class ModelObserver:
    """Observes a group for one process.

    Args:
        model: The group.
        group: Its name in the feed.
        origin: The process.
        feed: The process's feed.
    """

    def __init__(
        self,
        model: ModelGroup,
        group: str,
        origin: str,
        feed: Feed,
    ) -> None:
        self._model = model
        self._group = group
        self._origin = origin
        self._feed = feed

    async def run(self, interval_s: float) -> None:
        """Observe every instance that answers, until cancelled."""
        while True:
            for name, server in self._model.servers.items():
                if self._answers(name):
                    now = anyio.current_time()
                    observation = Observation(server.describe(), now)
                    self._model.network.spawn(self._report, observation)
            await anyio.sleep(interval_s)

    async def _report(self, observation: Observation) -> None:
        network = self._model.network
        await anyio.sleep(network.delay_s)
        await network.wait_unpaused(self._origin)
        self._feed.record(self._group, observation)

    def _answers(self, name: str) -> bool:
        is_cut = self._model.network.is_cut(self._origin, name)
        return self._model.instance(name).is_serving and not is_cut
