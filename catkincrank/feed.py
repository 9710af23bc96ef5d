"""Observed state of each group's instances, and what follows from it.

Observations may arrive late, duplicated or out of order. Each describes a
moment in the past; this module keeps the facts that remain true afterwards.
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
    """Observed facts about one group.

    Attributes:
        members: Names of the group's instances; empty while unknown.
        observations: Newest observation of each instance.
        histories: History of each of the newest terms, by term.
        accepted: Highest log position that each instance stored in a term
            while it had not promised a later one; by term and endpoint.
        primaries: Endpoint that was primary in each term.
        revision: Incremented by each observation that was not a duplicate.
    """

    __slots__ = (
        '_cached_primary',
        '_position_samples',
        '_promises',
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
        self._position_samples = PositionSamples()
        self._cached_primary: tuple[int, Observation | None] = (-1, None)

    @property
    def majority(self) -> int:
        """Size of a majority of the members; 0 while they are unknown."""
        return len(self.members) // 2 + 1 if self.members else 0

    def record(self, observation: Observation) -> bool:
        """Record an observation; return ``False`` for a duplicate."""
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
        """Return the primary of the newest term; ``None`` while unknown."""
        revision, primary = self._cached_primary
        if revision != self.revision:
            primary = self._search_primary()
            self._cached_primary = (self.revision, primary)
        return primary

    def last_current_at(self, term: int) -> float:
        """Return the newest time at which ``term`` was certainly the newest.

        A later term begins only after a majority has promised it. Promises
        are never withdrawn, so an instance without one had none earlier.
        """
        if not self.majority:
            return _NEVER
        times = sorted(
            (self._unpromised_at(name, term) for name in self.members),
            reverse=True,
        )
        return times[self.majority - 1]

    def data_as_of(self, endpoint: str) -> float:
        """Return a time up to which ``endpoint`` shows all committed writes."""
        observation = self.observations.get(endpoint)
        if observation is None:
            return _NEVER
        status = observation.status
        if status.role is Role.PRIMARY:
            return self.last_current_at(status.term)
        sample = self._position_samples.find(status.history, status.replayed)
        if sample is None:
            return _NEVER
        return min(sample.taken_at, self.last_current_at(sample.mark.term))

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
            (
                taken_at
                for promised, taken_at in times.items()
                if promised <= term
            ),
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
            self._position_samples.add(
                observation.taken_at,
                LogMark(status.term, status.replayed),
            )
        self._record_promise(observation)
        self._evict_old_terms()

    def _record_promise(self, observation: Observation) -> None:
        """Record when the instance was last seen with its promised term."""
        times = self._promises.setdefault(observation.status.endpoint, {})
        promised = _promised_term(observation)
        times[promised] = max(
            times.get(promised, _NEVER),
            observation.taken_at,
        )
        if len(times) > _KEPT_TERMS:
            times.pop(min(times))

    def _evict_old_terms(self) -> None:
        for term in sorted(self.histories)[:-_KEPT_TERMS]:
            self.histories.pop(term)
            self.accepted.pop(term, None)
            self.primaries.pop(term, None)


def _promised_term(observation: Observation) -> int:
    """Return the highest term that the instance has entered or promised."""
    status = observation.status
    if status.sealed is None:
        return status.term
    return max(status.term, status.sealed.term)


def _is_newer(observation: Observation, known: Observation) -> bool:
    """Whether ``observation`` was made later than ``known``.

    Within one incarnation the status decides: the translated time of an
    observation is only a lower bound.
    """
    if observation.status.incarnation != known.status.incarnation:
        return observation.taken_at >= known.taken_at
    return _order(observation) >= _order(known)


def _order(observation: Observation) -> tuple[int, int, float]:
    """Return a key that never decreases within one incarnation."""
    return (
        _promised_term(observation),
        observation.status.replayed,
        observation.taken_at,
    )


@final
class Feed:
    """Observations of the groups that a process uses or watches."""

    __slots__ = ('_groups', '_listeners')

    def __init__(self) -> None:
        self._groups: dict[str, GroupEvidence] = {}
        self._listeners: list[Callable[[str], None]] = []

    def evidence(self, group: str) -> GroupEvidence:
        """Return the observed facts about ``group``."""
        known = self._groups.get(group)
        if known is None:
            known = GroupEvidence()
            self._groups[group] = known
        return known

    def set_members(self, group: str, endpoints: Iterable[str]) -> None:
        """Set the group's instances, of which majorities are counted."""
        self.evidence(group).members = frozenset(endpoints)

    def record(self, group: str, observation: Observation) -> bool:
        """Record an observation; return ``False`` for a duplicate."""
        if not self.evidence(group).record(observation):
            return False
        for listener in tuple(self._listeners):
            listener(group)
        return True

    def listen(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with a group's name at each new observation."""
        self._listeners.append(listener)

    def observations(self, group: str) -> dict[str, Observation]:
        """Return the newest observation of each instance, by endpoint."""
        return self.evidence(group).observations

    def primary(self, group: str) -> Observation | None:
        """Return the primary of the newest term; ``None`` while unknown."""
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
        """Whether that incarnation of ``endpoint`` has replayed ``mark``."""
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
        return max(0, now - self.evidence(group).data_as_of(endpoint))

    def revision(self, group: str) -> int:
        """Return a number that rises with each new observation."""
        return self.evidence(group).revision


@final
class FeedWaiter:
    """Lets tasks wait for new observations of a group.

    Args:
        feed: The feed to wait on.
    """

    __slots__ = ('_events', '_feed')

    def __init__(self, feed: Feed) -> None:
        self._feed = feed
        self._events: dict[str, anyio.Event] = {}
        feed.listen(self._notify)

    async def wait_for_change(self, group: str, after_revision: int) -> int:
        """Return the group's revision once it exceeds ``after_revision``."""
        while self._feed.revision(group) <= after_revision:
            event = self._events.get(group)
            if event is None:
                event = anyio.Event()
                self._events[group] = event
            await event.wait()
        return self._feed.revision(group)

    def _notify(self, group: str) -> None:
        event = self._events.pop(group, None)
        if event is not None:
            event.set()
