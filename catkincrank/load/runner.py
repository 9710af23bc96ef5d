"""Runs a load: open arrivals, one queue for each session."""

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import final

import anyio

from catkincrank.load.caller import Caller, CallerContext
from catkincrank.load.connection import Target
from catkincrank.load.outcome import Tally
from catkincrank.load.profile import Workload
from catkincrank.load.schedule import Arrival, Operation, draw_arrivals
from catkincrank.records import RecordedHistory

__all__ = ('LoadRun', 'run_load')

_QUEUE_LENGTH = 100_000
_STATEMENTS = 1
_TRANSACTION_STATEMENTS = 4


@final
@dataclass(frozen=True, slots=True)
class LoadRun:
    """What a load needs.

    Attributes:
        workload: What callers do.
        groups: Groups that the sessions are spread over.
        targets: Returns the proxies that the balancer offers now.
        history: Takes the records.
        seed: Seed of every draw.
    """

    workload: Workload
    groups: Sequence[str]
    targets: Callable[[], Sequence[Target]]
    history: RecordedHistory
    seed: int = 1


async def run_load(run: LoadRun, tally: Tally) -> float:
    """Run a load to its end; return the time it started at."""
    numbers = itertools.count(1)
    context = CallerContext(
        run.targets,
        run.history,
        tally,
        lambda: next(numbers),
        run.workload.deadline_s,
        anyio.current_time(),
        run.seed,
    )
    async with anyio.create_task_group() as tasks:
        queues = []
        for number in range(run.workload.sessions):
            service = number % len(run.groups)
            caller = Caller(number, service, run.groups[service], context)
            queue = _Queue()
            queues.append(queue)
            tasks.start_soon(_serve_session, caller, queue, tally)
        await _feed(run, context, queues)
    return context.started_at


@final
class _Queue:
    """Arrivals that wait for one session."""

    def __init__(self) -> None:
        send, receive = anyio.create_memory_object_stream[Arrival](
            _QUEUE_LENGTH,
        )
        self.send = send
        self.receive = receive

    @property
    def length(self) -> int:
        """Arrivals that wait."""
        return self.send.statistics().current_buffer_used


async def _feed(
    run: LoadRun,
    context: CallerContext,
    queues: list[_Queue],
) -> None:
    tally = context.tally
    for arrival in draw_arrivals(run.workload, len(run.groups), run.seed):
        due = context.started_at + arrival.at_s
        await anyio.sleep_until(due)  # noqa: WPS476
        waiting = sum(queue.length for queue in queues)
        tally.queue.append((arrival.at_s, waiting))
        tally.peak_queue = max(tally.peak_queue, waiting)
        queues[arrival.session].send.send_nowait(arrival)
    for queue in queues:
        queue.send.close()


async def _serve_session(
    caller: Caller,
    queue: _Queue,
    tally: Tally,
) -> None:
    with queue.receive:
        async for arrival in queue.receive:
            outcome = await caller.run(arrival)
            tally.outcomes.append(outcome)
            is_long = arrival.operation is Operation.TRANSACTION
            count = _TRANSACTION_STATEMENTS if is_long else _STATEMENTS
            tally.statements += 0 if outcome.error else count
    caller.close()
