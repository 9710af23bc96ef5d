"""Runs coroutines on a loop whose clock jumps over idle time."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import looptime


def run(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run ``function`` to its end in virtual time that starts at 0 s."""
    return anyio.run(
        function,
        *args,
        backend='asyncio',
        backend_options={
            'loop_factory': lambda: looptime.new_event_loop(start=0),
        },
    )
