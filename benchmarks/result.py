"""Figures of a benchmark run and their bounds."""

import math
import statistics
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import final

__all__ = ('Bound', 'Figures', 'check_bounds', 'load_bounds', 'put_summary')

_BOUNDS_PATH = Path(__file__).with_name('bounds.toml')


@final
@dataclass(slots=True)
class Figures:
    """Figures of a run, with notes and failures.

    Attributes:
        values: Figures by name.
        notes: Remarks, such as figures that were not measured.
        failures: Measurements that failed.
    """

    values: dict[str, float | None] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    def put(self, name: str, figure: float | None) -> None:
        """Record a figure, rounded to five significant digits."""
        if figure is not None and math.isfinite(figure):
            figure = float('{0:.5g}'.format(figure))
        self.values[name] = figure


@final
@dataclass(frozen=True, slots=True)
class Bound:
    """Bound on all figures whose names start with ``name``.

    Attributes:
        name: Prefix of the figures' names.
        source: Source of the requirement.
        at_most: Maximum value.
        at_least: Minimum value.
    """

    name: str
    source: str
    at_most: float = math.inf
    at_least: float = -math.inf


def load_bounds() -> list[Bound]:
    """Return the bounds of the bounds file."""
    table = tomllib.loads(_BOUNDS_PATH.read_text('utf-8'))
    return [Bound(name, **fields) for name, fields in table.items()]


def check_bounds(figures: Figures) -> list[str]:
    """Return a line for each figure that exceeds its bound."""
    return [
        '{0} is {1:g}; required by {2}: {3}'.format(
            name,
            value,
            bound.source,
            _describe(bound),
        )
        for bound in load_bounds()
        for name, value in figures.values.items()
        if _is_broken(bound, name, value)
    ]


def _is_broken(bound: Bound, name: str, value: float | None) -> bool:
    if value is None or not name.startswith(bound.name):
        return False
    return not bound.at_least <= value <= bound.at_most


def put_summary(
    figures: Figures,
    name: str,
    measured: Sequence[float],
) -> None:
    """Record minimum, median, maximum and number of the values."""
    if not measured:
        figures.notes.append('{0}: not measured'.format(name))
        return
    figures.put('{0}_min_s'.format(name), min(measured))
    figures.put('{0}_median_s'.format(name), statistics.median(measured))
    figures.put('{0}_max_s'.format(name), max(measured))
    figures.put('{0}_count'.format(name), len(measured))


def _describe(bound: Bound) -> str:
    if math.isfinite(bound.at_most):
        return 'at most {0:g}'.format(bound.at_most)
    return 'at least {0:g}'.format(bound.at_least)
