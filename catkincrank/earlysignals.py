"""Signals before the event loop of a gateway handles them, and after that.

Importing this module sets the handlers of a gateway. The package imports it
before all others, whose import takes seconds on a VM with a small share of a
core; it imports only modules that the interpreter has loaded or that are small.
"""

import os
import signal
import sys
from collections.abc import Generator, Sequence
from contextlib import contextmanager

__all__ = ('handle_early_signals', 'is_gateway', 'keep_handlers')

_PROGRAM = 'gateway'
# ``python -m`` sets this argument until it has found the module to run.
_RUN_AS_MODULE = '-m'
_COMMAND = 'catkincrank'


def is_gateway(arguments: Sequence[str]) -> bool:
    """Return whether a command line starts a gateway."""
    if arguments[1:2] != [_PROGRAM]:
        return False
    return arguments[0] == _RUN_AS_MODULE or (
        os.path.basename(arguments[0]) == _COMMAND
    )


def handle_early_signals() -> None:
    """Have SIGHUP ignored, and end the process without an error at SIGTERM.

    A gateway reports to nobody before its event loop handles signals, so there
    is nothing to hand over.
    """
    if is_gateway(sys.argv):
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, _exit)


@contextmanager
def keep_handlers(*watched: signal.Signals) -> Generator[None]:
    """Reinstall the present handlers of signals at the end.

    An event loop that stops watching a signal installs the default handler,
    which would end a process by SIGHUP while it finishes.
    """
    before = {signum: signal.getsignal(signum) for signum in watched}
    try:
        yield
    finally:
        for signum, action in before.items():
            signal.signal(signum, action)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, watched)


def _exit(_signum: int, _frame: object) -> None:
    os._exit(0)  # noqa: WPS437


handle_early_signals()
