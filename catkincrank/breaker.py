"""Circuit breaker that ejects failing instances for a limited time.

Only reads use it. Writes always go to the primary, and the keepers replace a
primary that fails. A minimum number of instances of a group always stays in
use, even when all of them fail.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

__all__ = ('BreakerOptions', 'GroupBreaker')

_MIN_IN_USE = 2
_MAX_DOUBLINGS = 16


@final
@dataclass(frozen=True, slots=True)
class BreakerOptions:
    """When an instance is ejected and for how long.

    Attributes:
        failures: Consecutive failures that eject an instance.
        ejection_s: Duration of the first ejection; each later one is twice as
            long.
        max_ejection_s: Longest duration of an ejection.
        forget_s: Time without a failure after which earlier failures and
            ejections no longer count.
    """

    failures: int = 3
    ejection_s: float = 2
    max_ejection_s: float = 60
    forget_s: float = 120


@final
class _EndpointRecord:
    """Failures and ejections of one instance."""

    __slots__ = ('ejections', 'failed_at', 'failures', 'ejected_until')

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.failed_at: float = 0
        self.ejected_until: float = 0


@final
class GroupBreaker:
    """Outlier ejection among the instances of one group.

    Args:
        options: When and for how long instances are ejected.
    """

    __slots__ = ('_options', '_records')

    def __init__(self, options: BreakerOptions | None = None) -> None:
        self._options = options or BreakerOptions()
        self._records: dict[str, _EndpointRecord] = {}

    def record_success(self, endpoint: str, now: float) -> None:
        """Record that ``endpoint`` answered a request."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.failures = 0
        record.ejected_until = min(record.ejected_until, now)
        if now - record.failed_at >= self._options.forget_s:
            self._records.pop(endpoint)

    def record_failure(self, endpoint: str, now: float) -> bool:
        """Record a failed request; return whether it ejects ``endpoint``."""
        record = self._records.setdefault(endpoint, _EndpointRecord())
        if now - record.failed_at >= self._options.forget_s:
            record.ejections = 0
            record.failures = 0
        record.failures += 1
        record.failed_at = now
        if (
            record.failures < self._options.failures
            or now < record.ejected_until
        ):
            return False
        duration_s = self._options.ejection_s * (
            1 << min(record.ejections, _MAX_DOUBLINGS)
        )
        record.ejected_until = now + min(
            duration_s, self._options.max_ejection_s
        )
        record.ejections += 1
        # A single failure after the ejection ejects the instance again.
        record.failures = self._options.failures - 1
        return True

    def ejected(self, endpoints: Iterable[str], now: float) -> frozenset[str]:
        """Return which of a group's ``endpoints`` are ejected.

        At least two stay in use, or all of a smaller group: those whose last
        failure is the oldest are kept in use first.
        """
        in_group = tuple(endpoints)
        failing = [name for name in in_group if self._is_ejected(name, now)]
        failing.sort(key=self._failed_at, reverse=True)
        return frozenset(failing[: max(0, len(in_group) - _MIN_IN_USE)])

    def _is_ejected(self, endpoint: str, now: float) -> bool:
        record = self._records.get(endpoint)
        return record is not None and now < record.ejected_until

    def _failed_at(self, endpoint: str) -> tuple[float, str]:
        return self._records[endpoint].failed_at, endpoint
