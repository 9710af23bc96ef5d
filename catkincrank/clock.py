"""An event loop whose clock goes on while the machine is suspended."""

import asyncio
import time
from typing import final

__all__ = ('SuspendAwareLoop',)


@final
class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock that counts suspended time.

    The monotonic clock stands still while a VM is suspended, so that a lease
    would seem to hold although it has long ended for everybody else.
    """

    def time(self) -> float:
        """Return seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
