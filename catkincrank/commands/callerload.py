"""Command ``load``: a caller load against any address."""

import os
from typing import Annotated

import anyio
import msgspec
import typer
from rich.console import Console

from catkincrank.endpoint import StatementError
from catkincrank.errors import EndpointError
from catkincrank.load import workload
from catkincrank.load.connection import CallerConnection, Target
from catkincrank.load.outcome import Tally
from catkincrank.load.presentation import show_load
from catkincrank.load.profile import Workload, load_profile
from catkincrank.load.report import RunReport, write_report
from catkincrank.load.runner import LoadRun, run_load
from catkincrank.load.summary import LoadFigures, summarize
from catkincrank.load.targets import parse_targets
from catkincrank.records import RecordedHistory

__all__ = ('run_caller_load',)

_FAILED = 1
_USER = 'caller'
_PASSWORD_VARIABLE = 'CATKINCRANK_LOAD_PASSWORD'


def run_caller_load(
    target: Annotated[
        str,
        typer.Option(help='HOST:PORT of proxies, parted by commas.'),
    ],
    database: Annotated[
        str,
        typer.Option(help='Databases TEAM/SERVICE, parted by commas.'),
    ],
    deployment: Annotated[
        str,
        typer.Option(help='Name or file of the profile of the load.'),
    ] = 'sawari',
    rate: Annotated[
        float,
        typer.Option(help='Requests a second; 0 for the profile rate.'),
    ] = 0,
    duration: Annotated[
        float,
        typer.Option(help='Seconds; 0 for the profile duration.'),
    ] = 0,
    seed: Annotated[int, typer.Option(help='Seed of the load.')] = 1,
    report: Annotated[
        str,
        typer.Option(help='HTML or SVG file for the plots.'),
    ] = '',
) -> None:
    """Load proxies with callers; the last line is the result as JSON.

    The password is read from CATKINCRANK_LOAD_PASSWORD.
    """
    password = os.environ.get(_PASSWORD_VARIABLE, '')
    targets = parse_targets(target, _USER, password)
    run = LoadRun(
        _choose_workload(deployment, rate, duration),
        [part.strip() for part in database.split(',')],
        lambda: targets,
        RecordedHistory(),
        seed,
    )
    tally = Tally()
    figures = anyio.run(_load, run, tally, targets)
    show_load(Console(), figures)
    result = msgspec.json.encode(figures).decode('utf-8')
    if report:
        picture = RunReport(target, run.groups, tally)
        write_report(picture, result, report)
    typer.echo(result)
    if figures.unserved:
        raise typer.Exit(_FAILED)


def _choose_workload(name: str, rate: float, duration_s: float) -> Workload:
    wanted = {'rate': rate, 'duration_s': duration_s}
    return msgspec.structs.replace(
        load_profile(name).workload,
        **{field: number for field, number in wanted.items() if number},
    )


async def _load(
    run: LoadRun,
    tally: Tally,
    targets: list[Target],
) -> LoadFigures:
    for group in run.groups:
        await _create_tables(targets[0], group)  # noqa: WPS476
    started_at = await run_load(run, tally)
    return summarize(tally, anyio.current_time() - started_at)


async def _create_tables(target: Target, group: str) -> None:
    connection = await CallerConnection.open(target, group)
    try:
        for statement in workload.SCHEMA:
            await connection.execute(statement)  # noqa: WPS476
    except StatementError as refused:
        reason = 'cannot create the tables: {0}'.format(refused)
        raise EndpointError(reason, was_sent=True) from None
    finally:
        connection.close()
