"""Daemons as programs: options, logs, signals and the event loop."""

import importlib
import os
import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, final

import anyio

from catkincrank.logs import configure_logs, log_event
from catkincrank.options import parse_options

__all__ = ('PROGRAMS', 'Program', 'load_program', 'run_program')


@final
@dataclass(frozen=True, slots=True)
class Program:
    """Where a daemon lives.

    Attributes:
        module: Module with ``run``.
        options: Name of the class of its flags there.
    """

    module: str
    options: str


PROGRAMS = {  # noqa: WPS407
    'proxy': Program('catkincrank.proxyprogram', 'ProxyFlags'),
    'keeper': Program('catkincrank.keeperprogram', 'KeeperFlags'),
}


def load_program(name: str) -> tuple[Any, type[Any]]:
    """Return a daemon's module and its options class."""
    program = PROGRAMS[name]
    module = importlib.import_module(program.module)
    return module, getattr(module, program.options)


def run_program(name: str, arguments: Sequence[str]) -> int:
    """Run a daemon until it is told to stop; return its exit status.

    Raises:
        OptionError: An option is wrong; nothing was started.
    """
    module, kind = load_program(name)
    options = parse_options(kind, arguments, os.environ)
    source = getattr(options, 'name', '') or name
    configure_logs(source)
    log_event('program_started', program=name, process_id=os.getpid())
    request_drain = getattr(module, 'request_drain', None)
    anyio.run(_serve, module.run, options, request_drain)
    log_event('program_stopped', program=name)
    return 0


async def _serve(
    run: Callable[[Any], Awaitable[None]],
    options: Any,
    request_drain: Callable[[], Any] | None,
) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, tasks.cancel_scope, request_drain)
        await run(options)
        tasks.cancel_scope.cancel()


async def _watch_signals(
    scope: anyio.CancelScope,
    request_drain: Callable[[], Any] | None,
) -> None:
    stopping = False
    with anyio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
    ) as received:
        async for signum in received:
            log_event('signal_received', signal=signum.name)
            if stopping or request_drain is None:
                scope.cancel()
                return
            stopping = True
            request_drain()
