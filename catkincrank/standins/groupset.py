"""The groups of a deployment and the wires that lead to them."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import final

from catkincrank.load.profile import Profile
from catkincrank.settings import Endpoint, Limits, Service, Team
from catkincrank.standins.group import StandinGroup
from catkincrank.standins.instance import InstanceOptions
from catkincrank.standins.observer import InstanceObserver
from catkincrank.standins.wire import Wire

__all__ = ('GroupSet', 'ObserverFactory')

ObserverFactory = Callable[[str], InstanceObserver]
_HOST = '127.0.0.1'
_ENDPOINT_NAMES = ('a', 'b', 'c')


@final
class GroupSet:
    """Stand-in groups; callers in other zones reach them through wires.

    Args:
        profile: What to run.
        observe: Returns what takes the reports of a group's instances.

    Attributes:
        groups: Groups by ``team/service``.
        wires: Wires by group, endpoint and the zone that they serve.
    """

    def __init__(
        self, profile: Profile, observe: ObserverFactory | None
    ) -> None:
        self.groups: dict[str, StandinGroup] = {}
        self.wires: dict[tuple[str, str, str], Wire] = {}
        self._profile = profile
        self._observe = observe

    async def start(self, stack: AsyncExitStack) -> None:
        """Start every group; ``stack`` ends them."""
        for name in self._profile.groups():
            group = StandinGroup(_ENDPOINT_NAMES, self._make_options(name))
            self.groups[name] = group
            await stack.enter_async_context(group)  # noqa: WPS476
            await self._lay_wires(name, stack)  # noqa: WPS476

    def find_wires(self, group: str, endpoint: str) -> list[Wire]:
        """Return the wires from other zones to an endpoint."""
        return [
            wire
            for (name, target, _), wire in self.wires.items()
            if (name, target) == (group, endpoint)
        ]

    def describe_team(self) -> Team:
        """Return settings that name every endpoint."""
        services = {
            name.partition('/')[2]: Service(
                self._describe_endpoints(name),
                acknowledgement=self._profile.acknowledgement,
                limits=Limits(
                    self._profile.connections,
                    slots=self._profile.slots,
                    proxies=self._profile.proxies,
                ),
            )
            for name in self.groups
        }
        return Team(services)

    def _describe_endpoints(self, group: str) -> tuple[Endpoint, ...]:
        addresses = self.groups[group].addresses()
        return tuple(
            Endpoint(
                name,
                self._profile.zone_of(number),
                _HOST,
                address.port,
                self._list_ports(group, name, self._profile.zone_of(number)),
            )
            for number, (name, address) in enumerate(addresses.items())
        )

    def _list_ports(self, group: str, name: str, own: str) -> dict[str, int]:
        return {
            zone: self.wires[group, name, zone].port
            for zone in self._profile.zones
            if zone != own
        }

    def _make_options(self, name: str) -> InstanceOptions:
        profile = self._profile
        observer = InstanceObserver()
        if self._observe is not None:
            observer = self._observe(name)
        return InstanceOptions(
            profile.slots,
            profile.connections,
            profile.connect_s,
            profile.statement_s,
            observer=observer,
        )

    async def _lay_wires(self, name: str, stack: AsyncExitStack) -> None:
        profile = self._profile
        group = self.groups[name]
        for endpoint, address in group.addresses().items():
            group.set_lag(endpoint, profile.ship_s, profile.apply_s)
            for zone in profile.zones:
                wire = Wire(_HOST, address.port, profile.zone_delay_s)
                await wire.start()  # noqa: WPS476
                stack.callback(wire.stop)
                self.wires[name, endpoint, zone] = wire
