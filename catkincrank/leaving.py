"""Decides from the platform's VM list whether this VM is about to go."""

from collections.abc import Iterable
from typing import final

from catkincrank.store import VirtualMachine

__all__ = ('LeavingDetector',)


@final
class LeavingDetector:
    """Remembers the notice: the list lags, and an older one may follow.

    Args:
        machine: Name of this VM.

    Attributes:
        since: When the notice was first seen; ``None`` before.
    """

    __slots__ = ('_machine', 'detected_at')

    def __init__(self, machine: str) -> None:
        self._machine = machine
        self.detected_at: float | None = None

    def update(self, machines: Iterable[VirtualMachine], now: float) -> bool:
        """Take in a list; return whether it is the first with the notice."""
        is_listed = any(
            machine.name == self._machine and machine.is_leaving
            for machine in machines
        )
        if not is_listed or self.detected_at is not None:
            return False
        self.detected_at = now
        return True
