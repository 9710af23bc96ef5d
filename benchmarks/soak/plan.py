"""Draws the disruptions of a soak from its seed."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import final

from catkincrank.registry import Registry

__all__ = (
    'DisruptionKind',
    'Disruption',
    'draw_plan',
    'draw_restorations',
    'kinds',
    'restorations',
)

_MAX_KINDS = 4
_MAX_SERIES_COUNT = 9
_MIN_SERIES_COUNT = 3
_EARLIEST_S = 1
_MAX_DURATION_S = 7
_MIN_DURATION_S = 0.3
# Share of soaks with planned work only, in which no request may be cut.
_PLANNED_SHARE = 0.2
_SERIES_LENGTH = 3
_MAX_RESTORATIONS = 3


@final
@dataclass(frozen=True, slots=True)
class Disruption:
    """One disruption of a plan.

    Attributes:
        kind: Name of its kind.
        at_s: When it begins, in seconds from the start.
        for_s: How long it lasts, in seconds.
        choice: Number from 0 up to 1 that selects the target.
        strength: Severity, from 0 up to 1.
    """

    kind: str
    at_s: float
    for_s: float
    choice: float
    strength: float


@final
@dataclass(frozen=True, slots=True)
class DisruptionKind:
    """A kind of disruption.

    Attributes:
        disrupt: Starts it, waits, ends it and returns its target.
        is_planned: Whether it is planned work, which must cut no request.
    """

    disrupt: Callable[..., Awaitable[str]]
    is_planned: bool = False


kinds: Registry[DisruptionKind] = Registry('kind of disruption')
# Drawn apart from the others, so that older seeds keep their plans.
restorations: Registry[DisruptionKind] = Registry('restoration')


def draw_plan(seed: int, seconds: float) -> list[Disruption]:
    """Return the disruptions of a seed; all begin within ``seconds``."""
    source = random.Random(seed)
    names = kinds.names()
    if source.random() < _PLANNED_SHARE:
        names = tuple(one for one in names if kinds.find(one).is_planned)
    count = min(len(names), source.randint(1, _MAX_KINDS))
    chosen = source.sample(names, count)
    plan: list[Disruption] = []
    for _ in range(source.randint(_MIN_SERIES_COUNT, _MAX_SERIES_COUNT)):
        plan.extend(_draw_series(source, source.choice(chosen), seconds))
    return sorted(plan, key=lambda one: one.at_s)


def draw_restorations(seed: int, seconds: float) -> list[Disruption]:
    """Return the restorations of the store that are added to a plan."""
    source = random.Random('restorations {0}'.format(seed))
    return [
        Disruption(
            source.choice(restorations.names()),
            source.uniform(_EARLIEST_S, seconds),
            source.uniform(0, _SERIES_LENGTH),
            source.random(),
            source.random(),
        )
        for _ in range(source.randint(1, _MAX_RESTORATIONS))
    ]


def _draw_series(
    source: random.Random,
    kind: str,
    seconds: float,
) -> list[Disruption]:
    """Return one disruption, or a series of the same kind."""
    at_s = source.uniform(_EARLIEST_S, seconds)
    for_s = source.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
    gap_s = source.uniform(_MIN_DURATION_S, _SERIES_LENGTH)
    times = source.choice((1, 1, 1, _SERIES_LENGTH))
    return [
        Disruption(
            kind,
            at_s + number * gap_s,
            for_s / times,
            source.random(),
            source.random(),
        )
        for number in range(times)
        if at_s + number * gap_s <= seconds
    ]
