"""Fault matrix of a request: every fault at every step, judged.

A case runs a scenario in which a fault strikes when a request reaches a step
for the n-th time. Everything heals afterwards, and a last write must pass.
"""

import itertools
from dataclasses import dataclass
from typing import Any, final

import anyio

from catkincrank.invariants import check_history
from catkincrank.standins import instancefaults  # noqa: F401
from catkincrank.standins.modelfaults import faults
from catkincrank.standins.modelnetwork import Step, StepEvent
from catkincrank.standins.recorder import StatementRecorder
from catkincrank.standins.scenario import (
    Scenario,
    ScenarioOptions,
    open_scenario,
)
from catkincrank.violation import Violation

__all__ = (
    'STEPS',
    'FaultCase',
    'FaultOutcome',
    'list_cases',
    'run_case',
)

STEPS = (
    'arrive',
    'queue',
    'lease',
    'begin',
    'execute',
    'commit_sent',
    'commit_answered',
    'acknowledgement',
    'answer',
)
_AGAIN_WITHIN_S = 5
_ACKNOWLEDGING_S = 0.004
_QUEUE_POLL_S = 0.002
_MOST_OCCURRENCES = 3
_WIRE_STEPS = (
    ('BEGIN', Step.SENDING, 'lease'),
    ('BEGIN', Step.ARRIVED, 'begin'),
    ('INSERT', Step.ARRIVED, 'execute'),
    ('COMMIT', Step.SENDING, 'commit_sent'),
    ('COMMIT', Step.RAN, 'commit_answered'),
)
_RESUMES = 'service_resumes'


@final
@dataclass(frozen=True, slots=True)
class FaultCase:
    """One cell of the matrix with its seed.

    Attributes:
        fault: Name of the fault.
        step: Step at which it strikes.
        seed: Seed of the scenario.
        second: Name of a fault that strikes a while later; may be empty.
        acknowledgement: Name of the acknowledgement policy.
    """

    fault: str
    step: str
    seed: int
    second: str = ''
    acknowledgement: str = 'replica'


@final
@dataclass(frozen=True, slots=True)
class FaultOutcome:
    """What came of a case.

    Attributes:
        violations: By invariant; only those that were found.
        has_struck: Whether the step was reached at all.
        requests: Requests that were submitted.
    """

    violations: dict[str, list[Violation]]
    was_injected: bool
    requests: int


@final
class _Trigger:
    """Strikes at the n-th time that a step is reached."""

    def __init__(self, case: FaultCase, scenario: Scenario) -> None:
        self.was_injected = False
        self._case = case
        self._scenario = scenario
        self._left = scenario.source.randint(1, _MOST_OCCURRENCES)
        self._recorder = StatementRecorder(scenario.history)

    async def note_step(self, event: StepEvent, step: Step) -> None:
        """Take in a step of a statement on its way."""
        if not event.origin.startswith('p'):
            return
        if step is Step.ARRIVED:
            self._recorder.record(event)
        for keyword, at, name in _WIRE_STEPS:
            if at is step and event.sql.startswith(keyword):
                await self.reach(name, event.origin)  # noqa: WPS476
        if step is Step.RAN and event.sql == 'COMMIT':
            network = self._scenario.model.network
            network.spawn(self._reach_acknowledgement, event.origin)
        await self._scenario.model.network.wait_unpaused(event.origin)

    async def note_caller(self, step: str, caller: Any) -> None:
        """Take in a step that only callers see."""
        await self.reach(step, caller.proxy.name)

    async def watch_queues(self) -> None:
        """Take in that requests wait for a connection."""
        while not self.was_injected:
            for name, proxy in tuple(self._scenario.proxies.items()):
                if proxy.waiting:
                    await self.reach('queue', name)  # noqa: WPS476
            await anyio.sleep(_QUEUE_POLL_S)

    async def reach(self, step: str, origin: str) -> None:
        """Strike if this is the step and its time has come."""
        if step != self._case.step or self.was_injected:
            return
        self._left -= 1
        if self._left > 0:
            return
        self.was_injected = True
        await faults.find(self._case.fault)(self._scenario, origin)
        if self._case.second:
            self._scenario.tasks.start_soon(self._strike_again, origin)

    async def _strike_again(self, origin: str) -> None:
        await anyio.sleep(self._scenario.source.uniform(0, _AGAIN_WITHIN_S))
        await faults.find(self._case.second)(self._scenario, origin)

    async def _reach_acknowledgement(self, origin: str) -> None:
        await anyio.sleep(_ACKNOWLEDGING_S)
        await self.reach('acknowledgement', origin)


async def run_case(case: FaultCase) -> FaultOutcome:
    """Run one case to its end and judge it."""
    options = ScenarioOptions(case.seed, case.acknowledgement)
    async with open_scenario(options) as scenario:
        trigger = _Trigger(case, scenario)
        scenario.model.network.hook = trigger.note_step
        scenario.traffic.reach = trigger.note_caller
        scenario.tasks.start_soon(trigger.watch_queues)
        await scenario.run_traffic()
        is_whole = await scenario.settle()
        has_resumed = await scenario.traffic.pay_last('last')
        await scenario.settle()
        scenario.collect()
        found = {
            name: violations
            for name, violations in check_history(scenario.history).items()
            if violations
        }
        if not (is_whole and has_resumed):
            explanation = 'whole: {0}; a last write passed: {1}'
            broken = explanation.format(is_whole, has_resumed)
            found[_RESUMES] = [Violation('group', broken)]
        return FaultOutcome(
            found,
            trigger.was_injected,
            len(scenario.history.submissions()),
        )


def list_cases(
    seeds: range,
    *,
    has_pairs: bool = False,
    acknowledgement: str = 'replica',
) -> list[FaultCase]:
    """Return the cells of the matrix, once for each seed."""
    seconds = faults.names() if has_pairs else ('',)
    cells = itertools.product(seeds, faults.names(), STEPS, seconds)
    return [
        FaultCase(fault, step, seed, second, acknowledgement)
        for seed, fault, step, second in cells
    ]
