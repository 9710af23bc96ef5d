"""Fault matrix of a request: every fault at every step of its path.

A case runs a scenario and injects a fault when requests reach a step for the
n-th time. Afterwards all faults are healed, a final write has to be
acknowledged, and the recorded history is checked against the invariants.
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
_SECOND_FAULT_WITHIN_S = 5
_ACKNOWLEDGEMENT_DELAY_S = 0.004
_QUEUE_POLL_INTERVAL_S = 0.002
_MAX_OCCURRENCE = 3
_STATEMENT_STEPS = (
    ('BEGIN', Step.SENDING, 'lease'),
    ('BEGIN', Step.ARRIVED, 'begin'),
    ('INSERT', Step.ARRIVED, 'execute'),
    ('COMMIT', Step.SENDING, 'commit_sent'),
    ('COMMIT', Step.RAN, 'commit_answered'),
)
_SERVICE_RESUMES = 'service_resumes'


@final
@dataclass(frozen=True, slots=True)
class FaultCase:
    """One cell of the matrix with its seed.

    Attributes:
        fault: Name of the fault.
        step: Step at which it is injected.
        seed: Seed of the scenario.
        second: Name of a fault that is injected up to 5 s later; may be
            empty.
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
    """Result of a case.

    Attributes:
        violations: Violations by invariant; only broken ones are listed.
        was_injected: Whether the step was reached and the fault injected.
        requests: Number of requests that were submitted.
    """

    violations: dict[str, list[Violation]]
    was_injected: bool
    requests: int


@final
class _FaultInjector:
    """Injects the fault of a case when its step is reached the n-th time."""

    def __init__(self, case: FaultCase, scenario: Scenario) -> None:
        self.was_injected = False
        self._case = case
        self._scenario = scenario
        self._remaining = scenario.source.randint(1, _MAX_OCCURRENCE)
        self._recorder = StatementRecorder(scenario.history)

    async def handle_step(self, event: StepEvent, step: Step) -> None:
        """Handle a step of a statement on its way to an instance and back."""
        # Only proxies, p1 and p2; the keeper also sends statements.
        if not event.origin.startswith('p'):
            return
        if step is Step.ARRIVED:
            self._recorder.record(event)
        for keyword, at, name in _STATEMENT_STEPS:
            if at is step and event.sql.startswith(keyword):
                await self.inject_if_due(name, event.origin)  # noqa: WPS476
        if step is Step.RAN and event.sql == 'COMMIT':
            network = self._scenario.model.network
            network.spawn(self._handle_acknowledgement, event.origin)
        await self._scenario.model.network.wait_unpaused(event.origin)

    async def handle_caller_step(self, step: str, caller: Any) -> None:
        """Handle a step that only callers see."""
        await self.inject_if_due(step, caller.proxy.name)

    async def monitor_queues(self) -> None:
        """Poll the proxies for requests that wait for a connection."""
        while not self.was_injected:
            for name, proxy in tuple(self._scenario.proxies.items()):
                if proxy.waiting:
                    await self.inject_if_due('queue', name)  # noqa: WPS476
            await anyio.sleep(_QUEUE_POLL_INTERVAL_S)

    async def inject_if_due(self, step: str, origin: str) -> None:
        """Inject the fault at the chosen occurrence of the case's step."""
        if step != self._case.step or self.was_injected:
            return
        self._remaining -= 1
        if self._remaining > 0:
            return
        self.was_injected = True
        await faults.find(self._case.fault)(self._scenario, origin)
        if self._case.second:
            self._scenario.tasks.start_soon(self._inject_second_fault, origin)

    async def _inject_second_fault(self, origin: str) -> None:
        await anyio.sleep(
            self._scenario.source.uniform(0, _SECOND_FAULT_WITHIN_S)
        )
        await faults.find(self._case.second)(self._scenario, origin)

    async def _handle_acknowledgement(self, origin: str) -> None:
        await anyio.sleep(_ACKNOWLEDGEMENT_DELAY_S)
        await self.inject_if_due('acknowledgement', origin)


async def run_case(case: FaultCase) -> FaultOutcome:
    """Run one case and check its history against the invariants."""
    options = ScenarioOptions(case.seed, case.acknowledgement)
    async with open_scenario(options) as scenario:
        injector = _FaultInjector(case, scenario)
        scenario.model.network.hook = injector.handle_step
        scenario.traffic.on_step = injector.handle_caller_step
        scenario.tasks.start_soon(injector.monitor_queues)
        await scenario.run_traffic()
        has_recovered = await scenario.recover()
        has_acknowledged = await scenario.traffic.make_final_payment('last')
        await scenario.recover()
        scenario.record_final_state()
        found = {
            name: violations
            for name, violations in check_history(scenario.history).items()
            if violations
        }
        if not (has_recovered and has_acknowledged):
            explanation = 'group recovered: {0}; final write acknowledged: {1}'
            broken = explanation.format(has_recovered, has_acknowledged)
            found[_SERVICE_RESUMES] = [Violation('group', broken)]
        return FaultOutcome(
            found,
            injector.was_injected,
            len(scenario.history.submissions()),
        )


def list_cases(
    seeds: range,
    *,
    has_pairs: bool = False,
    acknowledgement: str = 'replica',
) -> list[FaultCase]:
    """Return every cell of the matrix for each seed."""
    seconds = faults.names() if has_pairs else ('',)
    cells = itertools.product(seeds, faults.names(), STEPS, seconds)
    return [
        FaultCase(fault, step, seed, second, acknowledgement)
        for seed, fault, step, second in cells
    ]
