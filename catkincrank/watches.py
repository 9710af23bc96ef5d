"""The watches of one keeper, one for each instance of its groups."""

import os
from collections.abc import Iterable
from typing import final

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from catkincrank.endpoint import Credential, EndpointAddress, drivers
from catkincrank.errors import OptionError
from catkincrank.settings import Service
from catkincrank.watch import Watch, WatchListener, WatchTarget

__all__ = ('WatchSet', 'list_targets')

_APPLICATION = 'catkincrank-keeper-{0}'


def list_targets(
    group: str,
    service: Service,
    zone: str,
) -> list[WatchTarget]:
    """Return the instances of ``service`` as seen from ``zone``."""
    credential = Credential(
        service.user,
        os.environ.get(service.password_variable, ''),
        service.database,
    )
    return [
        WatchTarget(
            group,
            EndpointAddress(
                endpoint.name,
                endpoint.host,
                endpoint.port_from(zone),
            ),
            credential,
        )
        for endpoint in service.endpoints
    ]


@final
class WatchSet:
    """Starts and stops watches as groups are added and removed.

    Args:
        keeper: Name of the keeper, shown in the instances' connections.
        zone: Availability zone of the keeper.
        listener: Is notified of statuses and failures.
        tasks: Task group in which the watches run.

    Attributes:
        groups: The watches by group and endpoint.
    """

    __slots__ = ('_keeper', '_listener', '_scopes', '_tasks', '_zone', 'groups')

    def __init__(
        self,
        keeper: str,
        zone: str,
        listener: WatchListener,
        tasks: TaskGroup,
    ) -> None:
        self.groups: dict[str, dict[str, Watch]] = {}
        self._keeper = keeper
        self._zone = zone
        self._listener = listener
        self._tasks = tasks
        self._scopes: dict[WatchTarget, anyio.CancelScope] = {}

    def set_group(self, group: str, service: Service) -> None:
        """Watch exactly the instances of ``service`` in ``group``."""
        try:
            driver = drivers.find(service.driver)()
        except OptionError as error:
            logger.bind(event='group_refused', group=group).error(str(error))
            return
        targets = list_targets(group, service, self._zone)
        current = self.groups.setdefault(group, {})
        self._stop(
            set(current) - {_get_endpoint(target) for target in targets},
            group,
        )
        for target in targets:
            known = current.get(_get_endpoint(target))
            if known is not None and known.target == target:
                continue
            self._stop([_get_endpoint(target)], group)
            watch = Watch(
                target,
                driver,
                _APPLICATION.format(self._keeper),
                self._listener,
            )
            current[_get_endpoint(target)] = watch
            self._tasks.start_soon(self._run, watch)

    def drop_group(self, group: str) -> None:
        """Stop every watch of ``group``."""
        self._stop(tuple(self.groups.get(group, {})), group)
        self.groups.pop(group, None)

    def expedite(self, group: str) -> None:
        """Read every instance of ``group`` at the short interval for 1 s."""
        for watch in self.groups.get(group, {}).values():
            watch.expedite()

    def _stop(self, endpoints: Iterable[str], group: str) -> None:
        for endpoint in endpoints:
            watch = self.groups[group].pop(endpoint, None)
            if watch is not None and watch.target in self._scopes:
                self._scopes.pop(watch.target).cancel()

    async def _run(self, watch: Watch) -> None:
        current = self.groups.get(watch.target.group, {})
        if current.get(_get_endpoint(watch.target)) is not watch:
            return
        with anyio.CancelScope() as scope:
            self._scopes[watch.target] = scope
            await watch.run()


def _get_endpoint(target: WatchTarget) -> str:
    return target.address.endpoint
