"""What a process says of its settings in its state dump."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from catkincrank.activesettings import ActiveSettings
from catkincrank.metrics import Metrics

__all__ = ('SettingsReport', 'expose_settings', 'report_book')

_NEVER_LEARNT_S = -1


@final
@dataclass(frozen=True, slots=True)
class SettingsReport:
    """Settings of one process.

    Attributes:
        versions: Version in force of each team.
        age_s: Age of the knowledge; ``None`` when nothing was ever learnt.
        unknown: Served teams whose newest version is not here.
        refused: Newer rows that are not valid, as texts by team.
        sequence: Number of the newest index entry learnt; 0 at a proxy.
        readers: The zone's readers of the store; empty at a proxy.
    """

    versions: dict[str, int]
    age_s: float | None
    unknown: list[str]
    refused: dict[str, str]
    sequence: int = 0
    readers: tuple[str, ...] = ()

    def list_obstacles(self) -> list[str]:
        """Return why the process cannot serve yet."""
        return [
            'settings of {0} are not known'.format(team)
            for team in self.unknown
            if team not in self.versions
        ]


def report_book(
    active_settings: ActiveSettings,
    now: float,
    unknown: list[str],
    sequence: int = 0,
    readers: tuple[str, ...] = (),
) -> SettingsReport:
    """Return the report on ``book``."""
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
    """Show as metrics how a process stands with its settings."""
    metrics.watch(
        'settings_age_seconds',
        'Age of what is known of settings; -1 when nothing was learnt.',
        lambda: _number(report().age_s),
    )
    metrics.watch(
        'settings_unknown_teams',
        'Served teams whose newest settings are not here.',
        lambda: len(report().unknown),
    )


def _number(age_s: float | None) -> float:
    return _NEVER_LEARNT_S if age_s is None else age_s
