"""Detects from the platform's VM list that this VM is leaving."""

from collections.abc import Iterable
from typing import final

from catkincrank.store import VirtualMachine

__all__ = ('LeavingWatch',)


@final
class LeavingWatch:
    """Detects the VM's leaving mark once and keeps the result.

    The list lags, so an older list without the mark may follow a newer one.

    Args:
        machine: Name of this VM.

    Attributes:
        since: Time of the first list with the mark; ``None`` before it.
    """

    __slots__ = ('_machine', 'since')

    def __init__(self, machine: str) -> None:
        self._machine = machine
        self.since: float | None = None

    def take(self, machines: Iterable[VirtualMachine], now: float) -> bool:
        """Check a list; return whether it is the first with the mark."""
        is_marked = any(
            machine.name == self._machine and machine.is_leaving
            for machine in machines
        )
        if not is_marked or self.since is not None:
            return False
        self.since = now
        return True
