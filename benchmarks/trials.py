"""Measurements of whole deployments under load."""

import itertools

import msgspec

from benchmarks.oracle import measure_read_share
from benchmarks.result import Figures, put_summary
from catkincrank.load.profile import FaultStep, Profile, load_profile
from catkincrank.load.trial import Trial, run_trial

__all__ = ('measure_failovers', 'measure_shares')

_SHIP_S = 0.01
_FAULT_AT_S = 1.5
_STORE_DOWN_AT_S = 0.5
_QUICK_CELLS = (
    ('kitakaze', 5, 0.2),
    ('sawari', 5, 0.2),
)
_QUICK_FAULTS = (('kill_primary', True),)
_ROUNDS = 4


async def measure_shares(figures: Figures, *, is_quick: bool) -> None:
    """Measure the share of reads on replicas against the possible one."""
    cells = _QUICK_CELLS
    if not is_quick:
        cells = tuple(
            itertools.product(
                ('kitakaze', 'sawari'),
                (None, 1, 5),
                (0.01, 0.2, 5),
            ),
        )
    for name, age_s, lag_s in cells:
        trial = Trial(
            name,
            _make_share_profile(name, age_s, lag_s, is_quick=is_quick),
            report=_discard_line,
        )
        result = await run_trial(trial)  # noqa: WPS476
        share = measure_read_share(
            trial.history,
            trial.profile.groups(),
            lag_s,
            trial.reads.by_replicas,
        )
        age = 'own' if age_s is None else '{0}s'.format(age_s)
        cell = '{0}_age_{1}_lag_{2}s'.format(name, age, lag_s)
        figures.put('replica_share_{0}'.format(cell), share.share)
        prefix = 'replica_share_of_possible_'
        if (age_s, lag_s) != (5, 0.2):
            prefix = 'part_of_possible_'
        figures.put(prefix + cell, share.share_of_possible)
        _record_violations(figures, cell, result.invariants_broken)


async def measure_failovers(figures: Figures, *, is_quick: bool) -> None:
    """Measure the gap in successful writes when primaries fail."""
    cases = _QUICK_FAULTS
    if not is_quick:
        cases = tuple(
            itertools.product(
                ('kill_primary', 'partition_primary', 'freeze_primary'),
                (True, False),
            ),
        )
    all_gaps: list[float] = []
    for action, is_store_up in cases:
        gaps: list[float] = []
        store = 'store_up' if is_store_up else 'store_down'
        cell = '{0}_{1}'.format(action, store)
        for seed in range(1 if is_quick else _ROUNDS):
            profile = _make_failover_profile(action, is_store_up=is_store_up)
            trial = Trial('sawari', profile, seed + 1, _discard_line)
            result = await run_trial(trial)  # noqa: WPS476
            gaps.extend(result.failover_gap_s)
            _record_violations(figures, cell, result.invariants_broken)
        put_summary(figures, 'gap_{0}'.format(cell), gaps)
        all_gaps.extend(gaps)
    put_summary(figures, 'failover_gap', all_gaps)


def _make_share_profile(
    name: str,
    age_s: float | None,
    lag_s: float,
    *,
    is_quick: bool,
) -> Profile:
    profile = load_profile(name)
    is_own = age_s is None
    workload = msgspec.structs.replace(
        profile.workload,
        duration_s=3 if is_quick else 5 + lag_s,
        own_share=1 if is_own else 0,
        staleness_s=(0,) if age_s is None else (age_s,),
    )
    return msgspec.structs.replace(
        profile,
        ship_s=_SHIP_S,
        apply_s=lag_s - _SHIP_S,
        workload=workload,
        faults=(),
    )


def _make_failover_profile(action: str, *, is_store_up: bool) -> Profile:
    profile = load_profile('sawari')
    steps = [
        FaultStep(_FAULT_AT_S, action, service) for service in profile.services
    ]
    if not is_store_up:
        steps.insert(0, FaultStep(_STORE_DOWN_AT_S, 'store_down'))
    workload = msgspec.structs.replace(
        profile.workload,
        duration_s=8,
        deadline_s=10,
        write_share=0.5,
    )
    return msgspec.structs.replace(
        profile,
        workload=workload,
        faults=tuple(steps),
    )


def _record_violations(
    figures: Figures,
    cell: str,
    broken: dict[str, int],
) -> None:
    count = figures.values.get('invariants_broken') or 0
    figures.put('invariants_broken', count + sum(broken.values()))
    for name, violations in broken.items():
        if violations:
            figures.notes.append(
                '{0}: {1} violations of {2}'.format(cell, violations, name),
            )


def _discard_line(line: str) -> None:
    """Show no progress."""
