"""Settings of the services that a proxy serves, by group."""

from typing import final

from catkincrank.settings import Service, Team

__all__ = ('Catalog',)


@final
class Catalog:
    """Looks services up by the name of their group, ``team/service``."""

    __slots__ = ('_services', '_weights')

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._weights: dict[str, int] = {}

    def __contains__(self, group: str) -> bool:
        return group in self._services

    def find(self, group: str) -> Service | None:
        """Return the settings of a group, or ``None``."""
        return self._services.get(group)

    def weight(self, group: str) -> int:
        """Return the weight of the group's team against other teams."""
        return self._weights.get(group.partition('/')[0], 1)

    def groups(self) -> tuple[str, ...]:
        """Return the names of all groups, sorted."""
        return tuple(sorted(self._services))

    def replace(self, name: str, team: Team | None) -> tuple[str, ...]:
        """Replace the services of a team; return the groups removed."""
        prefix = '{0}/'.format(name)
        services = {} if team is None else team.services
        wanted = {prefix + key: service for key, service in services.items()}
        removed = tuple(
            group
            for group in self._services
            if group.startswith(prefix) and group not in wanted
        )
        for group in removed:
            self._services.pop(group)
        self._services.update(wanted)
        self._weights[name] = 1 if team is None else team.weight
        return removed
