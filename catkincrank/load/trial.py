"""Runs a deployment under load and faults and checks the invariants."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import final

import anyio
import msgspec

from catkincrank.activesettings import settings_key
from catkincrank.endpoint import StatementError
from catkincrank.errors import CatkincrankError, EndpointError
from catkincrank.invariants import Violation
from catkincrank.load import workload
from catkincrank.load.connection import CallerConnection
from catkincrank.load.groupobserver import GroupObserver, ReadCounts
from catkincrank.load.outcome import Tally
from catkincrank.load.profile import FaultStep, Profile
from catkincrank.load.runner import LoadRun, run_load
from catkincrank.load.settingsmonitor import monitor_settings
from catkincrank.load.summary import LoadFigures, find_gap, summarize
from catkincrank.load.verification import (
    check_invariants,
    count_violations,
    record_effects,
)
from catkincrank.records import RecordedHistory
from catkincrank.standins.deployment import Deployment
from catkincrank.standins.faultscript import FaultScript

__all__ = ('Trial', 'TrialResult', 'run_trial')

_STARTUP_TIMEOUT_S = 15.0
_RETRY_DELAY_S = 0.1
_GAP_WINDOW_S = 14.0
_PROGRESS_INTERVAL_S = 1.0
_QUIESCE_S = 0.5
_MAX_SHOWN_ERRORS = 12
_PRIMARY_FAULTS = frozenset(
    ('kill_primary', 'freeze_primary', 'partition_primary'),
)


@final
class TrialResult(msgspec.Struct, frozen=True):
    """Result of a trial.

    Attributes:
        deployment: Name of the profile.
        seed: Seed of the run.
        seconds: Length of the load.
        statements: Statements with a complete answer.
        writes_acknowledged: Writes acknowledged to callers.
        replica_read_share: Fraction of the callers' reads served by replicas.
        failover_gap_s: Longest time without a served write around each
            failure of a primary.
        invariants_broken: Number of violations of each invariant.
        errors: Most frequent errors of submissions, with counts.
        crashes: Processes that ended with an error.
        refused_not_run: Answers with the verdict "not run".
        may_have_run: Answers with the verdict "may have run".
        load: All figures of the load run.
    """

    deployment: str
    seed: int
    seconds: float
    statements: int
    writes_acknowledged: int
    replica_read_share: float
    failover_gap_s: list[float]
    invariants_broken: dict[str, int]
    errors: dict[str, int]
    crashes: list[str]
    refused_not_run: int
    may_have_run: int
    load: LoadFigures

    @property
    def is_clean(self) -> bool:
        """Whether every invariant held and no process crashed."""
        return not (self.crashes or any(self.invariants_broken.values()))


@final
@dataclass(slots=True)
class Trial:
    """A trial and the data it collects.

    Attributes:
        name: Name of the profile.
        profile: Deployment, load and faults to run.
        seed: Seed of the run.
        report: Called with progress messages.
        history: Records of the run.
        tally: Counts of the run.
        reads: Reads of callers, by role of the instance that served them.
        steps: Injected faults and their times, from the start of the load.
        violations: Violations of each invariant.
        crashes: Processes that ended with an error.
        started_at: Start of the load on the clock of the event loop.
    """

    name: str
    profile: Profile
    seed: int = 1
    report: Callable[[str], None] = print
    history: RecordedHistory = field(default_factory=RecordedHistory)
    tally: Tally = field(default_factory=Tally)
    reads: ReadCounts = field(default_factory=ReadCounts)
    steps: list[tuple[float, FaultStep]] = field(default_factory=list)
    violations: dict[str, list[Violation]] = field(default_factory=dict)
    crashes: list[str] = field(default_factory=list)
    started_at: float = 0


async def run_trial(trial: Trial) -> TrialResult:
    """Run a trial and return its result."""

    def observe(group: str) -> GroupObserver:  # noqa: WPS430
        return GroupObserver(group, trial.history, trial.reads)

    trial.report('starting {0}'.format(trial.name))
    async with Deployment(trial.profile, observe) as deployment:
        await create_tables(deployment)
        trial.report('tables created, starting load')
        script = FaultScript(deployment, trial.history)
        first = deployment.platform.table.read(
            settings_key(trial.profile.team),
        )
        if first is not None:
            script.record_settings(first)
        seconds = await _run_load(trial, deployment, script)
        await anyio.sleep(_QUIESCE_S)
        record_effects(trial.history, deployment.groups.values())
        trial.crashes = deployment.crashes
    trial.violations = check_invariants(trial.history)
    return _make_result(trial, seconds)


async def create_tables(deployment: Deployment) -> None:
    """Create the load's tables in every group, through a proxy.

    Raises:
        CatkincrankError: The tables were not created in time.
    """
    with anyio.move_on_after(_STARTUP_TIMEOUT_S):
        for group in deployment.groups:
            for statement in workload.SCHEMA:
                await _execute_until_served(deployment, group, statement)  # noqa: WPS476
        return
    raise CatkincrankError(
        'creating the tables through a proxy took longer than {0:g} s'.format(
            _STARTUP_TIMEOUT_S
        )
    )


async def _execute_until_served(
    deployment: Deployment, group: str, sql: str
) -> None:
    while True:
        try:
            connection = await CallerConnection.open(
                deployment.targets()[0],
                group,
            )
            await connection.execute(sql)
        except (EndpointError, StatementError):
            await anyio.sleep(_RETRY_DELAY_S)
            continue
        connection.close()
        return


async def _run_load(
    trial: Trial,
    deployment: Deployment,
    script: FaultScript,
) -> float:
    run = LoadRun(
        trial.profile.workload,
        trial.profile.groups(),
        deployment.targets,
        trial.history,
        trial.seed,
    )
    started_at = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(script.run, started_at)
        tasks.start_soon(monitor_settings, deployment, trial.history)
        tasks.start_soon(_show_progress, trial, script, started_at)
        trial.started_at = await run_load(run, trial.tally)
        tasks.cancel_scope.cancel()
    trial.steps = [(at - started_at, step) for at, step in script.log]
    return anyio.current_time() - started_at


async def _show_progress(
    trial: Trial,
    script: FaultScript,
    started_at: float,
) -> None:
    shown = 0
    while True:
        await anyio.sleep(_PROGRESS_INTERVAL_S)
        for _, step in script.log[shown:]:
            name = step.service or step.proxy
            trial.report('{0} {1}'.format(step.action, name))
        shown = len(script.log)
        trial.report(
            '{0:3.0f} s  {1} answers, {2} not run, {3} may have run'.format(
                anyio.current_time() - started_at,
                len(trial.tally.outcomes),
                trial.tally.refused_not_run,
                trial.tally.may_have_run,
            ),
        )


def _make_result(trial: Trial, seconds: float) -> TrialResult:
    figures = summarize(trial.tally, seconds)
    return TrialResult(
        trial.name,
        trial.seed,
        figures.seconds,
        figures.statements,
        figures.writes_acknowledged,
        round(trial.reads.replica_share, 4),
        list_gaps(trial),
        count_violations(trial.violations),
        dict(trial.tally.errors.most_common(_MAX_SHOWN_ERRORS)),
        trial.crashes,
        figures.refused_not_run,
        figures.may_have_run,
        figures,
    )


def list_gaps(trial: Trial) -> list[float]:
    """Return the gap in served writes after each failure of a primary."""
    services = list(trial.profile.services)
    return [
        round(
            find_gap(
                trial.tally.outcomes,
                services.index(step.service),
                at_s,
                at_s + _GAP_WINDOW_S,
            ),
            3,
        )
        for at_s, step in trial.steps
        if step.action in _PRIMARY_FAULTS
    ]
