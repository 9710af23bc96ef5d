"""Confirmation by keepers in several zones that a primary does not answer."""

from dataclasses import dataclass
from typing import final

__all__ = ('Confirmation', 'PeerReport')

_REPORT_VALIDITY_S = 1.0
_REPORT_INTERVAL_S = 0.2
_ZONES_NEEDED = 2
_NEVER = float('inf')


@final
@dataclass(frozen=True, slots=True)
class PeerReport:
    """Another keeper's suspicion of one instance.

    Attributes:
        keeper: The other keeper.
        zone: Its availability zone.
        silent_s: Time in seconds for which the instance has not answered it.
        arrived_at: When the report arrived, on this keeper's clock.
    """

    keeper: str
    zone: str
    silent_s: float
    arrived_at: float


@final
class Confirmation:
    """Collects the suspicions of other keepers about one group.

    Args:
        zone: Availability zone of this keeper.

    Attributes:
        confirmed_at: Time since which enough zones agree; infinite while
            they do not.
    """

    __slots__ = ('_reported_at', '_reports', '_zone', 'confirmed_at')

    def __init__(self, zone: str) -> None:
        self.confirmed_at = _NEVER
        self._zone = zone
        self._reports: dict[str, dict[str, PeerReport]] = {}
        self._reported_at = -_NEVER

    def receive(self, endpoint: str, report: PeerReport) -> None:
        """Record another keeper's suspicion."""
        self._reports.setdefault(endpoint, {})[report.keeper] = report

    def reset(self) -> None:
        """Start over for a new suspicion."""
        self.confirmed_at = _NEVER
        self._reported_at = -_NEVER

    def drop_reports(self) -> None:
        """Drop all reports."""
        self.reset()
        self._reports.clear()

    def list_zones(self, endpoint: str, now: float) -> tuple[str, ...]:
        """Return the zones that suspect ``endpoint``, including this one."""
        zones = {self._zone}
        for report in self._reports.get(endpoint, {}).values():
            if now - report.arrived_at <= _REPORT_VALIDITY_S:
                zones.add(report.zone)
        return tuple(sorted(zones))

    def check(self, endpoint: str, now: float, *, is_needed: bool) -> bool:
        """Whether enough zones agree; updates ``confirmed_at``."""
        zones = self.list_zones(endpoint, now)
        if is_needed and len(zones) < _ZONES_NEEDED:
            self.confirmed_at = _NEVER
            return False
        self.confirmed_at = min(self.confirmed_at, now)
        return True

    def is_report_due(self, now: float) -> bool:
        """Whether to report this keeper's suspicion again.

        A true result starts the next report interval.
        """
        if now < self._reported_at + _REPORT_INTERVAL_S:
            return False
        self._reported_at = now
        return True
