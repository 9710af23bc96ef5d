"""Keeps a process running when one of its tasks fails unexpectedly."""

from collections.abc import Awaitable, Callable

import anyio

from catkincrank.logs import log_event

__all__ = ('run_restarting',)

# Pause before a failed task runs again; bounds the log lines of one that fails
# at once each time.
_RESTART_PAUSE_S = 0.5


async def run_restarting(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and again whenever it fails, until it returns.

    Args:
        name: Name of the task in log lines.
        run: Runs the task; keeps no state that a failure could leave behind.
    """
    while True:
        try:
            await run()
        except Exception as error:
            log_event('task_failed', 'ERROR', task=name, cause=_describe(error))
        else:
            return
        await anyio.sleep(_RESTART_PAUSE_S)


def _describe(error: Exception) -> str:
    """Return the causes of an error, without those that only group others."""
    if isinstance(error, ExceptionGroup):
        return '; '.join(_describe(one) for one in error.exceptions)
    return repr(error)
