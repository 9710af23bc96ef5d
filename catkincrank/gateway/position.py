"""Log positions of a group."""

from dataclasses import dataclass
from typing import final

__all__ = ('Position',)


@final
@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A log position; ordered by term, then number.

    Attributes:
        term: Term in which the entry was written.
        number: Number of the entry.
    """

    term: int
    number: int

    def __str__(self) -> str:
        return '{0}.{1}'.format(self.term, self.number)
