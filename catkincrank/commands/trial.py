"""Command ``try``: a deployment under load and faults, in one process."""

import asyncio
import logging
from typing import Annotated

import anyio
import msgspec
import typer
from loguru import logger
from rich.console import Console

from catkincrank.load.presentation import show_trial, show_violations
from catkincrank.load.profile import load_profile
from catkincrank.load.report import RunReport, write_report
from catkincrank.load.trial import Trial, run_trial

__all__ = ('try_deployment',)

_FAILED = 1


def try_deployment(
    deployment: Annotated[
        str,
        typer.Option(help='Name or file of a deployment.'),
    ] = 'sawari',
    seed: Annotated[int, typer.Option(help='Seed of the load.')] = 1,
    log_file: Annotated[
        str,
        typer.Option(help='File for the JSON lines of all processes.'),
    ] = '',
    report: Annotated[
        str,
        typer.Option(help='HTML or SVG file for the plots.'),
    ] = '',
) -> None:
    """Run a deployment with faults; the last line is the result as JSON."""
    console = Console()
    profile = load_profile(deployment)
    logger.remove()
    logging.getLogger(asyncio.__name__).setLevel(logging.CRITICAL)
    if log_file:
        logger.add(log_file, serialize=True, mode='w')
    trial = Trial(
        deployment,
        profile,
        seed,
        lambda line: console.print(line, highlight=False, markup=False),
    )
    try:
        result = anyio.run(run_trial, trial)
    except BaseExceptionGroup as group:
        raise _find_cause(group) from None
    show_violations(console, trial)
    show_trial(console, result)
    encoded = msgspec.json.encode(result).decode('utf-8')
    if report:
        write_report(_picture(trial), encoded, report)
    typer.echo(encoded)
    if not result.is_clean:
        raise typer.Exit(_FAILED)


def _picture(trial: Trial) -> RunReport:
    return RunReport(
        trial.name,
        trial.profile.services,
        trial.tally,
        [(at_s, step.action) for at_s, step in trial.steps],
        [
            (at - trial.started_at, is_replica)
            for at, is_replica in trial.reads.places
        ],
    )


def _find_cause(group: BaseExceptionGroup) -> BaseException:
    """Return the first error that is not a group."""
    first = group.exceptions[0]
    if isinstance(first, BaseExceptionGroup):
        return _find_cause(first)
    return first
