"""Takes instances that fail their requests out of use for a while.

Only reads heed it: where writes go is decided by who is primary, and an
instance that cannot serve as primary is the keepers' matter. Some instances of
a group are always left in use, however all of them behave.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

__all__ = ('BreakerOptions', 'GroupBreaker')

_LEAST_IN_USE = 2
_MAX_DOUBLINGS = 16


@final
@dataclass(frozen=True, slots=True)
class BreakerOptions:
    """When an instance is ejected and for how long.

    Attributes:
        failures: Failures in a row that eject it.
        ejection_s: Length of its first ejection; later ones are longer.
        max_ejection_s: Greatest length.
        forget_s: Time without failure after which earlier ejections are
            forgotten.
    """

    failures: int = 3
    ejection_s: float = 2
    max_ejection_s: float = 60
    forget_s: float = 120


@final
class _Record:
    """What is remembered of one instance."""

    __slots__ = ('ejections', 'failed_at', 'failures', 'until')

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.failed_at: float = 0
        self.until: float = 0


@final
class GroupBreaker:
    """Outlier ejection among the instances of one group.

    Args:
        options: Its limits.
    """

    __slots__ = ('_options', '_records')

    def __init__(self, options: BreakerOptions | None = None) -> None:
        self._options = options or BreakerOptions()
        self._records: dict[str, _Record] = {}

    def record_success(self, endpoint: str, now: float) -> None:
        """Take in that ``endpoint`` answered a request."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.failures = 0
        record.until = min(record.until, now)
        if now - record.failed_at >= self._options.forget_s:
            self._records.pop(endpoint)

    def record_failure(self, endpoint: str, now: float) -> bool:
        """Take in that it failed one; return whether that ejects it."""
        record = self._records.setdefault(endpoint, _Record())
        if now - record.failed_at >= self._options.forget_s:
            record.ejections = 0
            record.failures = 0
        record.failures += 1
        record.failed_at = now
        if record.failures < self._options.failures or now < record.until:
            return False
        length = self._options.ejection_s * (
            1 << min(record.ejections, _MAX_DOUBLINGS)
        )
        record.until = now + min(length, self._options.max_ejection_s)
        record.ejections += 1
        # One more failure after the ejection is enough to eject it again.
        record.failures = self._options.failures - 1
        return True

    def ejected(self, endpoints: Iterable[str], now: float) -> frozenset[str]:
        """Return which of a group's ``endpoints`` are out of use.

        At least two stay in use, or all of a smaller group: those that
        failed longest ago come back first.
        """
        known = tuple(endpoints)
        out = [name for name in known if self._is_out(name, now)]
        out.sort(key=self._failed_at, reverse=True)
        return frozenset(out[: max(0, len(known) - _LEAST_IN_USE)])

    def _is_out(self, endpoint: str, now: float) -> bool:
        record = self._records.get(endpoint)
        return record is not None and now < record.until

    def _failed_at(self, endpoint: str) -> tuple[float, str]:
        return self._records[endpoint].failed_at, endpoint
