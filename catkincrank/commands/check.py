"""Commands ``check ...``: validate flags and settings offline."""

import os
from pathlib import Path
from typing import Annotated

import typer

from catkincrank.commands.files import read_subtree
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
