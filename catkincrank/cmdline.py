"""Entry point: runs daemons directly, other commands through typer."""

import sys

from catkincrank.errors import CatkincrankError, OptionError
from catkincrank.programs import PROGRAMS, run_program

__all__ = ('main',)

_FAILED = 1
_BAD_INPUT = 2


def main() -> None:
    """Run the command line and exit with its status."""
    arguments = sys.argv[1:]
    try:
        sys.exit(_run(arguments))
    except OptionError as error:
        _print_error(error)
        sys.exit(_BAD_INPUT)
    except CatkincrankError as error:
        _print_error(error)
        sys.exit(_FAILED)


def _run(arguments: list[str]) -> int:
    if arguments and arguments[0] in PROGRAMS:
        return run_program(arguments[0], arguments[1:])
    # Daemons do not import typer, which would cost them several megabytes.
    from catkincrank.commands.application import (  # noqa: WPS433
        run_application,
    )

    return run_application(arguments)


def _print_error(error: Exception) -> None:
    line = ' '.join(str(error).split())
    sys.stderr.write('catkincrank: {0}\n'.format(line))
