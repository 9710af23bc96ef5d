"""Detects from the platform's VM list that this VM is leaving."""

from collections.abc import Iterable
from typing import final

from catkincrank.store import VirtualMachine

__all__ = ('LeavingDetector',)


@final
class LeavingDetector:
    """Detects the VM's leaving mark once and keeps the result.

    The list lags, so an older list without the mark may follow a newer one.

    Args:
        machine: Name of this VM.

    Attributes:
        detected_at: Time of the first list with the mark; ``None`` before it.
    """

    __slots__ = ('_machine', 'detected_at')

    def __init__(self, machine: str) -> None:
        self._machine = machine
        self.detected_at: float | None = None

    def update(self, machines: Iterable[VirtualMachine], now: float) -> bool:
        """Check a list; return whether it is the first with the mark."""
        is_marked = any(
            machine.name == self._machine and machine.is_leaving
            for machine in machines
        )
        if not is_marked or self.detected_at is not None:
            return False
        self.detected_at = now
        return True
