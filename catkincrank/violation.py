"""Violations of the system's invariants, and the registry of checkers."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeAlias, final

from catkincrank.records import RecordedHistory
from catkincrank.registry import Registry

__all__ = ('INVARIANTS', 'Checker', 'Violation')


@final
@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant.

    Attributes:
        subject: The request, connection, process, endpoint or team concerned.
        explanation: What was observed, and why it breaks the invariant.
    """

    subject: str
    explanation: str


Checker: TypeAlias = Callable[[RecordedHistory], Iterator[Violation]]

INVARIANTS: Registry[Checker] = Registry('invariant')
