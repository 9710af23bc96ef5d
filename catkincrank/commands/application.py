"""The typer application with all commands."""

from collections.abc import Sequence

import typer

from catkincrank import __version__
from catkincrank.commands import (
    callerload,
    check,
    drain,
    explain,
    settings,
    state,
    status,
    trial,
)
from catkincrank.errors import OptionError
from catkincrank.programs import run_program

__all__ = ('app', 'run_application')

_PASS_THROUGH = {  # noqa: WPS407
    'ignore_unknown_options': True,
    'allow_extra_args': True,
    'help_option_names': [],
}

app = typer.Typer(
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    add_completion=False,
)
app.add_typer(settings.app, name='settings')
app.add_typer(check.app, name='check')
app.command('state')(state.show_state)
app.command('drain')(drain.drain_process)
app.command('status')(status.show_status)
app.command('explain')(explain.explain_failover)
app.command('load')(callerload.run_caller_load)
app.command('try')(trial.try_deployment)


@app.callback()
def describe() -> None:
    """Database proxy with session consistency."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command('proxy', context_settings=_PASS_THROUGH)
def run_proxy(context: typer.Context) -> None:
    """Run a proxy; `catkincrank proxy --help` lists its flags."""
    run_program('proxy', context.args)


@app.command('keeper', context_settings=_PASS_THROUGH)
def run_keeper(context: typer.Context) -> None:
    """Run a keeper; `catkincrank keeper --help` lists its flags."""
    run_program('keeper', context.args)


def run_application(arguments: Sequence[str]) -> int:
    """Run one command and return its exit status.

    Raises:
        OptionError: The command line is invalid.
    """
    command = typer.main.get_command(app)
    given = list(arguments) or ['--help']
    try:
        outcome = command.main(given, 'catkincrank', standalone_mode=False)
    except typer.Exit as finished:
        return finished.exit_code
    except typer.TyperException as error:
        raise OptionError(
            'command line',
            ' '.join(given),
            'the commands and flags that --help lists; {0}'.format(error),
        ) from None
    return outcome if isinstance(outcome, int) else 0
