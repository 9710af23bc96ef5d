"""Report on the settings of a process, for state dump and metrics."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from catkincrank.activesettings import ActiveSettings
from catkincrank.metrics import Metrics

__all__ = ('SettingsReport', 'expose_settings', 'make_report')

_UNKNOWN_AGE_S = -1


@final
@dataclass(frozen=True, slots=True)
class SettingsReport:
    """Settings of one process.

    Attributes:
        versions: Version in force of each team.
        age_s: Seconds since the settings were last known to be up to date;
            ``None`` when they never were.
        unknown: Served teams whose newest version has not arrived.
        refused: Why a newer row is not valid, by team.
        sequence: Number up to which all index entries were received; 0 at a
            proxy.
        readers: The zone's readers of the store; empty at a proxy.
    """

    versions: dict[str, int]
    age_s: float | None
    unknown: list[str]
    refused: dict[str, str]
    sequence: int = 0
    readers: tuple[str, ...] = ()

    def list_obstacles(self) -> list[str]:
        """Return the reasons why the process is not ready to serve."""
        return [
            'settings of {0} are not known'.format(team)
            for team in self.unknown
            if team not in self.versions
        ]


def make_report(
    active_settings: ActiveSettings,
    now: float,
    unknown: list[str],
    sequence: int = 0,
    readers: tuple[str, ...] = (),
) -> SettingsReport:
    """Return the report on ``active_settings``."""
    age = active_settings.age(now)
    refused = {
        team: 'version {0}: {1}'.format(refusal.version, refusal.reason)
        for team, refusal in active_settings.refusals().items()
    }
    return SettingsReport(
        active_settings.versions(),
        None if age == float('inf') else age,
        unknown,
        refused,
        sequence,
        readers,
    )


def expose_settings(
    metrics: Metrics,
    report: Callable[[], SettingsReport],
) -> None:
    """Register the metrics on the settings of a process."""
    metrics.watch(
        'settings_age_seconds',
        'Seconds since settings were known up to date; -1 when never.',
        lambda: _age_value(report().age_s),
    )
    metrics.watch(
        'settings_unknown_teams',
        'Served teams whose newest settings have not arrived.',
        lambda: len(report().unknown),
    )


def _age_value(age_s: float | None) -> float:
    return _UNKNOWN_AGE_S if age_s is None else age_s
