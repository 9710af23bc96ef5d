"""Records the settings in force at the proxies of a deployment."""

import anyio

from catkincrank.records import RecordedHistory, SettingsInForce
from catkincrank.standins.deployment import Deployment

__all__ = ('monitor_settings',)

_INTERVAL_S = 0.05


async def monitor_settings(
    deployment: Deployment,
    history: RecordedHistory,
) -> None:
    """Record each version when it comes into force, until cancelled."""
    team = deployment.profile.team
    reported: dict[str, int] = {}
    while True:
        for name, proxy in deployment.proxies.items():
            row = proxy.settings.active_settings.row(team)
            if row is None or reported.get(name) == row.version:
                continue
            reported[name] = row.version
            history.add(
                SettingsInForce(
                    anyio.current_time(),
                    name,
                    team,
                    row.version,
                    row.change_id,
                ),
            )
        await anyio.sleep(_INTERVAL_S)
