"""An event loop whose clock keeps running while the VM is suspended."""

import asyncio
import time
from typing import final

__all__ = ('SuspendAwareLoop',)


@final
class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock that includes suspended time.

    The monotonic clock stops while a VM is suspended. After a resume, a lease
    would seem valid to its holder long after it has expired for all others.
    """

    def time(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
