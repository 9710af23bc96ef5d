"""Plays a script: its record and its exit status."""

import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Protocol, final

import anyio
from anyio.abc import TaskGroup

from review.standin2.client import Attempt
from review.standin2.stage import Stage

__all__ = ('Case', 'main')

_HELD = 0
_BROKEN = 1
_NOT_RUN = 2


class Case(Protocol):
    """One case.

    Attributes:
        attempts: Statements of the callers.
        stage: The stand-ins and gateways.
    """

    attempts: list[Attempt]
    stage: Stage

    async def play(self, tasks: TaskGroup) -> None:
        """Play the case, with the gateways ready."""

    def list_breaks(self) -> list[str]:
        """Return what broke the rule, one line each."""


@final
class _Player:
    """Plays a case and writes its record.

    Args:
        make_case: Makes the case, from the directory of the gateways' files
            and from whether its disruption happens.
    """

    def __init__(self, make_case: Callable[[Path, bool], Case]) -> None:
        self._make_case = make_case

    async def run(self, record: Path) -> int:
        """Return the exit status."""
        has_trouble = os.environ.get('TROUBLE', '1') != '0'
        with tempfile.TemporaryDirectory() as folder:
            case = self._make_case(Path(folder), has_trouble)
            has_run = await _try_to_play(case)
        successes = sum(one.is_success for one in case.attempts)
        if not (has_run and successes):
            return _NOT_RUN
        broken = case.list_breaks()
        summary = '{0} statements, {1} successes; rule broken {2} times'.format(
            len(case.attempts), successes, len(broken)
        )
        events = [
            *case.stage.describe(),
            *(one.describe() for one in case.attempts),
        ]
        lines = [summary, *broken, *sorted(events, key=_time_of)]
        record.write_text('{0}\n'.format('\n'.join(lines)))
        sys.stdout.write('{0}\n'.format(summary))
        return _BROKEN if broken else _HELD


def main(make_case: Callable[[Path, bool], Case]) -> None:
    """Play a case; the argument of the program is its folder."""
    status = _NOT_RUN
    try:
        record = Path(sys.argv[1]) / 'record.txt'
        status = anyio.run(_Player(make_case).run, record)
    except Exception:
        traceback.print_exc()
    sys.exit(status)


async def _try_to_play(case: Case) -> bool:
    """Play a case; return whether it ran to its end."""
    has_run = False
    try:
        await _play(case)
        has_run = True
    except* Exception as group:
        traceback.print_exception(group)
    return has_run


async def _play(case: Case) -> None:
    with ExitStack() as stack:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_end_at_signal)
            await case.stage.start(tasks, stack)
            await case.play(tasks)
            tasks.cancel_scope.cancel()


async def _end_at_signal() -> None:
    """End the case, with all processes that it started, at a signal.

    Raises:
        InterruptedError: The program was told to stop.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        signum = await anext(received)
        raise InterruptedError(signum.name)


def _time_of(line: str) -> float:
    return float(line.partition(' ')[0])
