"""Violations of what the product promises, and the checkers that find them."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeAlias, final

from catkincrank.records import RecordedHistory
from catkincrank.registry import Registry

__all__ = ('INVARIANTS', 'Checker', 'Violation')


@final
@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise.

    Attributes:
        subject: What it happened to: a request, connection or process.
        explanation: What was seen, and what should have been.
    """

    subject: str
    explanation: str


Checker: TypeAlias = Callable[[RecordedHistory], Iterator[Violation]]

INVARIANTS: Registry[Checker] = Registry('invariant')
