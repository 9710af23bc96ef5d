"""Signals that the operator or the platform sends to a gateway."""

import signal
from collections.abc import AsyncIterator

import anyio

from catkincrank.earlysignals import keep_handlers
from catkincrank.gateway.drain import Drain
from catkincrank.logs import log_event

__all__ = ('watch_signals',)


async def watch_signals(drain: Drain) -> None:
    """Start the drain at a request to stop, and log others; never returns."""
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with (
        keep_handlers(*watched),
        anyio.open_signal_receiver(*watched) as received,
    ):
        try:  # noqa: WPS501
            await _handle(drain, received)
        finally:
            # Until the earlier handlers are in place again.
            signal.pthread_sigmask(signal.SIG_BLOCK, watched)


async def _handle(
    drain: Drain, received: AsyncIterator[signal.Signals]
) -> None:
    async for signum in received:
        log_event('signal_received', signal=signum.name)
        if signum is not signal.SIGHUP:
            drain.start()
