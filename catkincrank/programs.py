"""Daemons: loading, options, logging and the event loop."""

import importlib
import os
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, final

import anyio

from catkincrank.clock import SuspendAwareLoop
from catkincrank.logpipe import LogPipe
from catkincrank.logs import (
    configure_early_logs,
    configure_logs,
    log_event,
)
from catkincrank.options import parse_options

__all__ = (
    'PROGRAMS',
    'Program',
    'load_program',
    'load_variants',
    'run_program',
)


_VARIANT_PACKAGES = ('catkincrank.endpoints', 'catkincrank.acknowledgements')


@final
@dataclass(frozen=True, slots=True)
class Program:
    """Definition of a daemon.

    Attributes:
        module: Module with ``run``.
        options: Name of the options class in the module.
        is_suspend_aware: Whether its clock counts the time that the VM is
            suspended.
        needs_variants: Whether its settings select registered variants, such
            as drivers.
        logs_to_output: Whether log lines go to standard output instead of
            standard error; lines are dropped while nobody reads it.
    """

    module: str
    options: str
    is_suspend_aware: bool = False
    needs_variants: bool = True
    logs_to_output: bool = False


PROGRAMS = {  # noqa: WPS407
    'proxy': Program('catkincrank.proxyprogram', 'ProxyFlags'),
    'keeper': Program('catkincrank.keeperprogram', 'KeeperFlags'),
    'gateway': Program(
        'catkincrank.platform.program',
        'GatewayFlags',
        is_suspend_aware=True,
        needs_variants=False,
        logs_to_output=True,
    ),
    'gateway-trial': Program(
        'catkincrank.platform.trial',
        'TrialFlags',
        needs_variants=False,
    ),
}


def load_program(name: str) -> tuple[Any, type[Any]]:
    """Return the module and the options class of a daemon."""
    program = PROGRAMS[name]
    module = importlib.import_module(program.module)
    return module, getattr(module, program.options)


def load_variants() -> None:
    """Import the packages that register variants named in settings."""
    for package in _VARIANT_PACKAGES:
        importlib.import_module(package)


def run_program(
    name: str,
    arguments: Sequence[str],
    prepared: tuple[Any, ...] = (),
) -> int:
    """Run a daemon until it is stopped; return its exit status.

    Args:
        name: Name of the daemon.
        arguments: Command line after the name.
        prepared: Further arguments of the daemon, made before its import.

    Raises:
        OptionError: An option is invalid; nothing was started.
    """
    module, kind = load_program(name)
    options = parse_options(kind, arguments, os.environ)
    program = PROGRAMS[name]
    if program.needs_variants:
        load_variants()
    source = getattr(options, 'name', '') or name
    if program.logs_to_output:
        configure_early_logs(source, LogPipe(sys.stdout.fileno()))
    else:
        configure_logs(source)
    log_event('program_started', program=name, process_id=os.getpid())
    backend = {}
    if program.is_suspend_aware:
        backend['loop_factory'] = SuspendAwareLoop
    anyio.run(module.run, options, *prepared, backend_options=backend)
    log_event('program_stopped', program=name)
    return 0
