"""Records which settings the proxies of a deployment act by."""

import anyio

from catkincrank.records import RecordedHistory, SettingsInForce
from catkincrank.standins.deployment import Deployment

__all__ = ('monitor_settings',)

_INTERVAL_S = 0.05


async def monitor_settings(
    deployment: Deployment,
    history: RecordedHistory,
) -> None:
    """Record each version that comes into force, until cancelled."""
    team = deployment.profile.team
    seen: dict[str, int] = {}
    while True:
        for name, proxy in deployment.proxies.items():
            row = proxy.settings.active_settings.row(team)
            if row is None or seen.get(name) == row.version:
                continue
            seen[name] = row.version
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
