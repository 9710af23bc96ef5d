"""Draws the troubles of a soak from its seed."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import final

from catkincrank.registry import Registry

__all__ = ('Kind', 'Trouble', 'draw_plan', 'kinds')

_MOST_KINDS = 4
_MOST_TROUBLES = 9
_LEAST_TROUBLES = 3
_FIRST_AT_S = 1
_LONGEST_S = 7
_SHORTEST_S = 0.3
# Share of the soaks with planned work only, where nothing excuses a cut.
_PLANNED_SHARE = 0.2
_SERIES = 3


@final
@dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble of a plan.

    Attributes:
        kind: Name of its kind.
        at_s: When it begins, in seconds from the start.
        for_s: How long it lasts, in seconds.
        choice: Number between 0 and 1 that chooses what it strikes.
        strength: Number between 0 and 1.
    """

    kind: str
    at_s: float
    for_s: float
    choice: float
    strength: float


@final
@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of trouble.

    Attributes:
        strike: Begins it, waits, ends it; returns what it struck.
        is_planned: Whether it is work that must cut nothing.
    """

    strike: Callable[..., Awaitable[str]]
    is_planned: bool = False


kinds: Registry[Kind] = Registry('kind of trouble')


def draw_plan(seed: int, seconds: float) -> list[Trouble]:
    """Return the troubles of a seed, which begin within ``seconds``."""
    source = random.Random(seed)
    names = kinds.names()
    if source.random() < _PLANNED_SHARE:
        names = tuple(one for one in names if kinds.find(one).is_planned)
    count = min(len(names), source.randint(1, _MOST_KINDS))
    chosen = source.sample(names, count)
    plan: list[Trouble] = []
    for _ in range(source.randint(_LEAST_TROUBLES, _MOST_TROUBLES)):
        plan.extend(_draw_series(source, source.choice(chosen), seconds))
    return sorted(plan, key=lambda one: one.at_s)


def _draw_series(
    source: random.Random,
    kind: str,
    seconds: float,
) -> list[Trouble]:
    """Return one trouble, or the same one several times in a row."""
    at_s = source.uniform(_FIRST_AT_S, seconds)
    for_s = source.uniform(_SHORTEST_S, _LONGEST_S)
    gap_s = source.uniform(_SHORTEST_S, _SERIES)
    times = source.choice((1, 1, 1, _SERIES))
    return [
        Trouble(
            kind,
            at_s + number * gap_s,
            for_s / times,
            source.random(),
            source.random(),
        )
        for number in range(times)
        if at_s + number * gap_s <= seconds
    ]
