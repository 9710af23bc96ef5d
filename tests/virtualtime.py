"""Runs coroutines on an event loop whose clock skips idle time."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import looptime


def run(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run ``function`` to completion in virtual time starting at 0 s."""
    return anyio.run(
        function,
        *args,
        backend='asyncio',
        backend_options={
            'loop_factory': lambda: looptime.new_event_loop(start=0),
        },
    )
