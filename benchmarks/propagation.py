"""Time until changed settings or a leaving mark take effect."""

import anyio
import msgspec

from benchmarks.result import Figures, put_summary
from catkincrank.load.connection import CallerConnection
from catkincrank.load.profile import FaultStep, load_profile
from catkincrank.load.trial import Trial, create_tables, run_trial
from catkincrank.records import (
    LeavingChanged,
    StatementPlace,
    StatementRan,
)
from catkincrank.standins.deployment import Deployment

__all__ = ('measure_leaving', 'measure_settings')

_TIMEOUT_S = 15
_POLL_S = 0.01
_SLOW_STORE_DELAY_S = 0.5
_CHANGES = 5
_FIRST_PLACES = frozenset((StatementPlace.FIRST, StatementPlace.ALONE))


async def measure_settings(figures: Figures, *, is_quick: bool) -> None:
    """Measure changes with the store healthy, slow, and down afterwards."""
    profile = msgspec.structs.replace(load_profile('sawari'), faults=())
    all_times = []
    async with Deployment(profile) as deployment:
        await _open_on_each_proxy(deployment)
        await _wait_in_force(deployment)
        for state in ('healthy', 'slow', 'down'):
            times = await _measure_changes(  # noqa: WPS476
                deployment,
                state,
                1 if is_quick else _CHANGES,
            )
            put_summary(figures, 'settings_{0}'.format(state), times)
            all_times.extend(times)
    figures.put('settings_in_force_s', max(all_times))


async def measure_leaving(figures: Figures, *, is_quick: bool) -> None:
    """Measure how long a leaving endpoint still receives new work."""
    profile = load_profile('kitakaze')
    service = profile.services[0]
    profile = msgspec.structs.replace(
        profile,
        workload=msgspec.structs.replace(profile.workload, duration_s=4),
        faults=(FaultStep(1, 'leave', service),),
    )
    trial = Trial('kitakaze', profile, report=lambda line: None)
    await run_trial(trial)
    left = trial.history.of_kind(LeavingChanged)[0]
    late = [
        ran.at - left.at
        for ran in trial.history.of_kind(StatementRan)
        if ran.endpoint == left.endpoint and ran.place in _FIRST_PLACES
    ]
    figures.put('leaving_last_work_s', max([0, *late]))


async def _open_on_each_proxy(deployment: Deployment) -> None:
    """Connect a caller to each proxy, so that it loads the team."""
    await create_tables(deployment)
    group = next(iter(deployment.groups))
    for target in deployment.targets():
        connection = await CallerConnection.open(  # noqa: WPS476
            target,
            group,
        )
        connection.close()


async def _measure_changes(
    deployment: Deployment,
    state: str,
    count: int,
) -> list[float]:
    times = []
    for _ in range(count):
        took_s = await _measure_change(deployment, state)  # noqa: WPS476
        times.append(took_s)
    return times


async def _measure_change(deployment: Deployment, state: str) -> float:
    faults = deployment.platform.faults
    faults.delay_s = _SLOW_STORE_DELAY_S if state == 'slow' else 0
    team = deployment.team
    began = anyio.current_time()
    await deployment.change_settings(
        msgspec.structs.replace(team, weight=team.weight + 1),
    )
    faults.is_down = state == 'down'
    await _wait_in_force(deployment)
    faults.is_down = False
    faults.delay_s = 0
    return anyio.current_time() - began


async def _wait_in_force(deployment: Deployment) -> None:
    name = deployment.profile.team
    with anyio.move_on_after(_TIMEOUT_S):
        while any(
            proxy.settings.active_settings.team(name) != deployment.team
            for proxy in deployment.proxies.values()
        ):
            await anyio.sleep(_POLL_S)
