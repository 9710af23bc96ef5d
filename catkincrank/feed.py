"""What a process knows of each group's instances, and what it may conclude.

Observations arrive late, twice and out of order. Each one is a fact about a
moment that has passed; this module keeps those facts that stay true.
"""

from collections.abc import Callable, Iterable
from typing import final

import anyio

from catkincrank.history import Containment, History, LogMark
from catkincrank.instance import Observation, Role
from catkincrank.positionsamples import PositionSamples

__all__ = ('Feed', 'FeedWaiter', 'GroupEvidence')

_NEVER = float('-inf')
_KEPT_TERMS = 8


@final
class GroupEvidence:
    """Facts about one group.

    Attributes:
        members: Names of the group's instances; empty while not known.
        observations: Newest observation of each instance.
        lineages: History of each of the newest terms.
        accepted: Highest position that each instance stored in a term, while
            it had promised no later one; by term and endpoint.
        primaries: Endpoint that was primary in each term.
        revision: Rises with each observation that counted.
    """

    __slots__ = (
        '_found',
        '_promises',
        '_witnesses',
        'accepted',
        'histories',
        'members',
        'observations',
        'primaries',
        'revision',
    )

    def __init__(self) -> None:
        self.members: frozenset[str] = frozenset()
        self.observations: dict[str, Observation] = {}
        self.histories: dict[int, History] = {}
        self.accepted: dict[int, dict[str, int]] = {}
        self.primaries: dict[int, str] = {}
        self.revision = 0
        self._promises: dict[str, dict[int, float]] = {}
        self._witnesses = PositionSamples()
        self._found: tuple[int, Observation | None] = (-1, None)

    @property
    def majority(self) -> int:
        """Instances that make a majority; 0 while members are not known."""
        return len(self.members) // 2 + 1 if self.members else 0

    def record(self, observation: Observation) -> bool:
        """Take in one observation; return whether it told anything new."""
        status = observation.status
        known = self.observations.get(status.endpoint)
        if known == observation:
            return False
        self._keep_facts(observation)
        if known is None or _is_newer(observation, known):
            self.observations[status.endpoint] = observation
        self.revision += 1
        return True

    def find_primary(self) -> Observation | None:
        """Return the primary of the newest term, unless it is not known."""
        revision, found = self._found
        if revision != self.revision:
            found = self._search_primary()
            self._found = (self.revision, found)
        return found

    def last_current_at(self, term: int) -> float:
        """Return the newest time at which no later term can have begun.

        A later term begins after a majority has promised it. A promise is
        never taken back, so an instance without one had none before either.
        """
        if not self.majority:
            return _NEVER
        times = sorted(
            (self._unpromised_at(name, term) for name in self.members),
            reverse=True,
        )
        return times[self.majority - 1]

    def data_time(self, endpoint: str) -> float:
        """Return a time whose every committed write ``endpoint`` shows."""
        observation = self.observations.get(endpoint)
        if observation is None:
            return _NEVER
        status = observation.status
        if status.role is Role.PRIMARY:
            return self.last_current_at(status.term)
        witness = self._witnesses.find(status.history, status.replayed)
        if witness is None:
            return _NEVER
        return min(witness.taken_at, self.last_current_at(witness.mark.term))

    def _search_primary(self) -> Observation | None:
        newest = max(self.histories, default=0)
        for observation in self.observations.values():
            status = observation.status
            if status.role is Role.PRIMARY and status.term == newest:
                return observation
        return None

    def _unpromised_at(self, endpoint: str, term: int) -> float:
        times = self._promises.get(endpoint, {})
        return max(
            (taken_at for level, taken_at in times.items() if level <= term),
            default=_NEVER,
        )

    def _keep_facts(self, observation: Observation) -> None:
        status = observation.status
        self.histories.setdefault(status.term, status.history)
        if not status.is_sealed:
            stored = self.accepted.setdefault(status.term, {})
            stored[status.endpoint] = max(
                stored.get(status.endpoint, 0),
                status.received,
            )
        if status.role is Role.PRIMARY:
            self.primaries[status.term] = status.endpoint
            self._witnesses.add(
                observation.taken_at,
                LogMark(status.term, status.replayed),
            )
        self._keep_promise_time(observation)
        self._forget_old_terms()

    def _keep_promise_time(self, observation: Observation) -> None:
        """Keep when the instance was last seen at its level of promise."""
        times = self._promises.setdefault(observation.status.endpoint, {})
        level = _promise_level(observation)
        times[level] = max(times.get(level, _NEVER), observation.taken_at)
        if len(times) > _KEPT_TERMS:
            times.pop(min(times))

    def _forget_old_terms(self) -> None:
        for term in sorted(self.histories)[:-_KEPT_TERMS]:
            self.histories.pop(term)
            self.accepted.pop(term, None)
            self.primaries.pop(term, None)


def _promise_level(observation: Observation) -> int:
    """Return the highest term that the instance is bound to."""
    status = observation.status
    if status.sealed is None:
        return status.term
    return max(status.term, status.sealed.term)


def _is_newer(observation: Observation, known: Observation) -> bool:
    """Whether ``observation`` was made later; its time is only a bound."""
    if observation.status.incarnation != known.status.incarnation:
        return observation.taken_at >= known.taken_at
    return _order(observation) >= _order(known)


def _order(observation: Observation) -> tuple[int, int, float]:
    """Return what never goes back within one incarnation."""
    return (
        _promise_level(observation),
        observation.status.replayed,
        observation.taken_at,
    )


@final
class Feed:
    """Evidence about every group that a process has to do with."""

    __slots__ = ('_groups', '_listeners')

    def __init__(self) -> None:
        self._groups: dict[str, GroupEvidence] = {}
        self._listeners: list[Callable[[str], None]] = []

    def evidence(self, group: str) -> GroupEvidence:
        """Return the facts about ``group``."""
        known = self._groups.get(group)
        if known is None:
            known = GroupEvidence()
            self._groups[group] = known
        return known

    def set_members(self, group: str, endpoints: Iterable[str]) -> None:
        """Say which instances the group has; majorities are taken of them."""
        self.evidence(group).members = frozenset(endpoints)

    def record(self, group: str, observation: Observation) -> bool:
        """Take in one observation; return whether it told anything new."""
        if not self.evidence(group).record(observation):
            return False
        for listener in tuple(self._listeners):
            listener(group)
        return True

    def listen(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with a group's name whenever it is learnt of."""
        self._listeners.append(listener)

    def observations(self, group: str) -> dict[str, Observation]:
        """Return the newest observation of each instance, by endpoint."""
        return self.evidence(group).observations

    def primary(self, group: str) -> Observation | None:
        """Return the primary of the newest term, unless it is not known."""
        return self.evidence(group).find_primary()

    def history(self, group: str) -> History | None:
        """Return the history of the newest term."""
        histories = self.evidence(group).histories
        return histories[max(histories)] if histories else None

    def has_replayed(
        self,
        group: str,
        endpoint: str,
        incarnation: str,
        mark: LogMark,
    ) -> bool:
        """Whether reads on that incarnation of ``endpoint`` see ``mark``."""
        observation = self.observations(group).get(endpoint)
        if observation is None:
            return False
        status = observation.status
        if status.incarnation != incarnation or status.replayed < mark.position:
            return False
        return status.history.locate(mark) is Containment.HELD

    def data_age(self, group: str, endpoint: str, now: float) -> float:
        """Return an upper bound on the age of an instance's data, in seconds.

        Infinite when nothing bounds it.
        """
        return max(0, now - self.evidence(group).data_time(endpoint))

    def revision(self, group: str) -> int:
        """Return a number that rises whenever the group is learnt of."""
        return self.evidence(group).revision


@final
class FeedWaiter:
    """Lets tasks wait for news about a group.

    Args:
        feed: The feed to wait on.
    """

    __slots__ = ('_events', '_feed')

    def __init__(self, feed: Feed) -> None:
        self._feed = feed
        self._events: dict[str, anyio.Event] = {}
        feed.listen(self._wake)

    async def wait_for_change(self, group: str, after_revision: int) -> int:
        """Wait until the group's revision is beyond ``after_revision``."""
        while self._feed.revision(group) <= after_revision:
            event = self._events.get(group)
            if event is None:
                event = anyio.Event()
                self._events[group] = event
            await event.wait()
        return self._feed.revision(group)

    def _wake(self, group: str) -> None:
        event = self._events.pop(group, None)
        if event is not None:
            event.set()
