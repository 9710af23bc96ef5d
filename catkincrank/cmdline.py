"""Entry point: runs daemons directly, other commands through typer."""

import importlib
import sys
from typing import Any

from catkincrank.errors import CatkincrankError, OptionError

__all__ = ('main',)

_FAILED = 1
_BAD_INPUT = 2
# Modules whose ``prepare`` runs before the program itself is imported.
_PREPARING_MODULES = {  # noqa: WPS407
    'gateway': 'catkincrank.platform.earlystart',
}


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
    name = arguments[0] if arguments else ''
    prepared = _prepare(name, arguments[1:])
    from catkincrank.programs import (  # noqa: WPS433
        PROGRAMS,
        run_program,
    )

    if name in PROGRAMS:
        return run_program(name, arguments[1:], prepared)
    # Daemons do not import typer, which would cost them several megabytes.
    from catkincrank.commands.application import (  # noqa: WPS433
        run_application,
    )

    return run_application(arguments)


def _prepare(name: str, arguments: list[str]) -> tuple[Any, ...]:
    """Return further arguments of a program."""
    module = _PREPARING_MODULES.get(name)
    if module is None:
        return ()
    return (importlib.import_module(module).prepare(arguments),)


def _print_error(error: Exception) -> None:
    line = ' '.join(str(error).split())
    sys.stderr.write('catkincrank: {0}\n'.format(line))
