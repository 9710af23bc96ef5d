"""Agreement of keepers in several zones that a primary does not answer."""

from dataclasses import dataclass
from typing import final

__all__ = ('Confirmation', 'PeerReport')

_REPORT_LIFE_S = 1.0
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
        silent_s: The silence that it has met.
        arrived_at: When the report arrived, on this keeper's clock.
    """

    keeper: str
    zone: str
    silent_s: float
    arrived_at: float


@final
class Confirmation:
    """Reports of other keepers about one group.

    Args:
        zone: Availability zone of this keeper.

    Attributes:
        confirmed_at: Since when enough zones agree; infinite while they
            don't.
    """

    __slots__ = ('_reported_at', '_reports', '_zone', 'confirmed_at')

    def __init__(self, zone: str) -> None:
        self.confirmed_at = _NEVER
        self._zone = zone
        self._reports: dict[str, dict[str, PeerReport]] = {}
        self._reported_at = -_NEVER

    def receive(self, endpoint: str, report: PeerReport) -> None:
        """Take in another keeper's suspicion."""
        self._reports.setdefault(endpoint, {})[report.keeper] = report

    def reset(self) -> None:
        """Begin anew with another suspicion."""
        self.confirmed_at = _NEVER
        self._reported_at = -_NEVER

    def drop_reports(self) -> None:
        """Drop all reports."""
        self.reset()
        self._reports.clear()

    def list_zones(self, endpoint: str, now: float) -> tuple[str, ...]:
        """Return the zones that suspect ``endpoint``, with the own one."""
        zones = {self._zone}
        for report in self._reports.get(endpoint, {}).values():
            if now - report.arrived_at <= _REPORT_LIFE_S:
                zones.add(report.zone)
        return tuple(sorted(zones))

    def check(self, endpoint: str, now: float, *, is_needed: bool) -> bool:
        """Whether enough zones agree, and keep since when."""
        zones = self.list_zones(endpoint, now)
        if is_needed and len(zones) < _ZONES_NEEDED:
            self.confirmed_at = _NEVER
            return False
        self.confirmed_at = min(self.confirmed_at, now)
        return True

    def is_report_due(self, now: float) -> bool:
        """Whether the own suspicion should be told again; it then counts."""
        if now < self._reported_at + _REPORT_INTERVAL_S:
            return False
        self._reported_at = now
        return True
