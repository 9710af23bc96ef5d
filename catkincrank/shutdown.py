"""Turns the init system's signals into an orderly stop."""

import os
import signal
from collections.abc import Callable
from typing import Any

import anyio

from catkincrank.logs import log_event

__all__ = ('stop_at_signal',)

_CUT_SHORT_STATUS = 1


async def stop_at_signal(ask_to_stop: Callable[[], Any]) -> None:
    """Ask to stop at the first signal, and end at once at the second."""
    is_stopping = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for signum in received:
            log_event('signal_received', signal=signum.name)
            if is_stopping:
                os._exit(_CUT_SHORT_STATUS)  # noqa: SLF001, WPS437
            is_stopping = True
            ask_to_stop()
