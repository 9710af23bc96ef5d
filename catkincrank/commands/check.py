"""Commands ``check ...``: validate flags and settings offline."""

import os
from pathlib import Path
from typing import Annotated

import typer

from catkincrank.commands.files import read_file, read_subtree
from catkincrank.errors import OptionError
from catkincrank.options import parse_options
from catkincrank.programs import load_program

__all__ = ('app',)

_PASS_THROUGH = {  # noqa: WPS407
    'ignore_unknown_options': True,
    'allow_extra_args': True,
}

app = typer.Typer(help='Validate flags and settings without starting anything.')


@app.command('settings')
def check_settings(
    files: Annotated[list[Path], typer.Argument(help='TOML or JSON files.')],
) -> None:
    """Validate settings files of a team."""
    for path in files:
        read_subtree(path)
        typer.echo('{0}: valid'.format(path))


@app.command('configuration')
def check_configuration(
    file: Annotated[Path, typer.Argument(help='Configuration as JSON.')],
) -> None:
    """Validate a configuration of the users' platform for gateways."""
    module, _ = load_program('gateway')
    faults = module.DOCUMENTS.list_faults(read_file(file))
    if faults:
        raise OptionError(str(file), '; '.join(faults), 'a valid configuration')
    typer.echo('{0}: valid'.format(file))


@app.command('proxy', context_settings=_PASS_THROUGH)
def check_proxy(context: typer.Context) -> None:
    """Validate the flags and environment variables of a proxy."""
    _check_program('proxy', context.args)


@app.command('keeper', context_settings=_PASS_THROUGH)
def check_keeper(context: typer.Context) -> None:
    """Validate the flags and environment variables of a keeper."""
    _check_program('keeper', context.args)


def _check_program(name: str, arguments: list[str]) -> None:
    _, kind = load_program(name)
    parse_options(kind, arguments, os.environ)
    typer.echo('{0}: valid'.format(name))
