"""Command line of the product; thin, each command calls the library."""

import typer

from catkincrank import __version__

__all__ = ('app', 'main')

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    context_settings={'auto_envvar_prefix': 'CATKINCRANK'},
)


@app.callback()
def describe() -> None:
    """Database proxy with session consistency."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command line."""
    app()
