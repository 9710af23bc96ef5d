"""Graceful shutdown on SIGTERM and SIGINT."""

import os
import signal
from collections.abc import Callable
from typing import Any

import anyio

from catkincrank.logs import log_event

__all__ = ('stop_at_signal',)

_FORCED_EXIT_STATUS = 1


async def stop_at_signal(request_stop: Callable[[], Any]) -> None:
    """Request a stop at the first signal; exit at once at the second."""
    is_stopping = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for signum in received:
            log_event('signal_received', signal=signum.name)
            if is_stopping:
                os._exit(_FORCED_EXIT_STATUS)  # noqa: SLF001, WPS437
            is_stopping = True
            request_stop()
