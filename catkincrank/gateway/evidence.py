"""Evidence of one process about a group: its grant and log positions.

A grant names the primary and expires at a time on this process's clock. Each
sample is a position of the primary's log with a time no later than the moment
at which it was taken: a log that contains the position contains every commit
acknowledged before that time.
"""

from collections import deque
from dataclasses import dataclass
from typing import final

from catkincrank.gateway.position import Position
from catkincrank.gateway.primaryproof import ProofState
from catkincrank.gateway.roster import EndpointEntry

__all__ = ('Grant', 'GroupEvidence')

# Samples older than the largest staleness limit of a route are never needed.
# The largest limit in use is 2.5 s; the rest is a margin.
_SAMPLE_RETENTION_S = 5.0
# Samples closer together than this are redundant and are not stored.
_SAMPLE_SPACING_S = 0.02
_FOREVER = float('inf')
# Misses that are further apart than this belong to different outages.
_MISS_GAP_S = 1.0


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to treat an endpoint as the primary.

    Attributes:
        endpoint_id: The primary.
        term: Term of the primary.
        until: Expiry time, in seconds of the local clock.
        bases: Each recent term with the position at which its log began.
        born_ms: Start of the primary, in Unix milliseconds. The grant does not
            hold for a later start of it.
    """

    endpoint_id: str
    term: int
    until: float
    bases: tuple[tuple[int, Position], ...] = ()
    born_ms: int = 0

    def names(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint is the primary, in the same start."""
        return (self.endpoint_id, self.born_ms) == entry.start


@final
class GroupEvidence:  # noqa: WPS214
    """Evidence about one group.

    Attributes:
        grant: The newest grant, which may have expired.
        positions: Newest log position of each endpoint in the current term. It
            outlasts a restart: an endpoint that holds less has lost its log,
            and what it reports is not relied on.
        granted_at: When the current primary was first granted, in seconds.
        proof: Proofs that may take the place of an expired grant.
    """

    __slots__ = (
        '_answered_at',
        '_missed_at',
        '_missing_since',
        '_samples',
        '_unproved',
        'grant',
        'granted_at',
        'positions',
        'proof',
    )

    def __init__(self) -> None:
        self.grant: Grant | None = None
        self.positions: dict[str, Position] = {}
        self.granted_at: float = 0
        self.proof = ProofState()
        # Start of each endpoint that answered last, and when.
        self._answered_at: dict[str, tuple[int, float]] = {}
        self._missing_since: float | None = None
        self._missed_at: float = 0
        self._samples: deque[tuple[float, Position]] = deque()
        # Samples taken without a grant, which wait for a proof.
        self._unproved: deque[tuple[float, Position]] = deque()

    def find_grant(self, now: float) -> Grant | None:
        """Return the grant if it is valid at ``now``."""
        grant = self.grant
        if grant is None or now >= grant.until:
            return None
        return grant

    def ungranted_s(self, now: float) -> float:
        """Return how long ago the newest grant expired, in seconds."""
        if self.grant is None:
            return 0
        return max(0, now - self.grant.until)

    def record_use(self, *, is_usable: bool, now: float) -> None:
        """Record whether a statement found a usable primary."""
        if is_usable:
            self._missing_since = None
        elif self._missing_since is None or now > self._missed_at + _MISS_GAP_S:
            self._missing_since = now
        self._missed_at = now

    def missing_s(self, now: float) -> float:
        """Return for how long statements have found no usable primary."""
        return 0 if self._missing_since is None else now - self._missing_since

    def holds(self, term: int, now: float) -> bool:
        """Return whether a grant for ``term`` is valid at ``now``."""
        grant = self.find_grant(now)
        return grant is not None and grant.term == term

    def covers(self, term: int, at: float, now: float) -> bool:
        """Return whether the primary of ``term`` was not replaced at a time.

        Either a grant is valid now, or the endpoints have proved it since.
        """
        grant = self.grant
        if grant is None or grant.term != term:
            return False
        return now < grant.until or at <= self.proof.proved_at

    def sample_age_s(self, now: float) -> float:
        """Return the age of the newest sample, in seconds."""
        return now - self._samples[-1][0] if self._samples else _FOREVER

    def apply_grant(self, grant: Grant | None, now: float) -> bool:
        """Replace the grant; return whether the primary changed."""
        before = self.grant
        self.grant = grant
        if grant is None:
            return False
        is_new_term = before is None or before.term != grant.term
        if is_new_term:
            self.positions.clear()
        changed = is_new_term or before.born_ms != grant.born_ms
        if changed:
            self.granted_at = now
            self.proof.reset()
            self._unproved.clear()
        elif now < grant.until:
            self.proof.forget_failures()
        return changed

    def find_answered_at(self, entry: EndpointEntry) -> float:
        """Return when an endpoint last answered; 0 if not since its start."""
        born_ms, answered_at = self._answered_at.get(entry.endpoint_id, (0, 0))
        return answered_at if born_ms == entry.born_ms else 0

    def record_answer(
        self,
        entry: EndpointEntry,
        position: Position | None,
        sent_at: float,
        now: float,
    ) -> None:
        """Record an answer of an endpoint and the log position in it.

        Args:
            entry: The endpoint that answered.
            position: Its log position, if the answer held one.
            sent_at: When the request was sent.
            now: Current time.
        """
        endpoint_id = entry.endpoint_id
        self._answered_at[endpoint_id] = (entry.born_ms, now)
        if position is None:
            return
        # An endpoint whose log is shorter than before was restarted without it.
        known = self.positions.get(endpoint_id, position)
        self.positions[endpoint_id] = max(known, position)
        if position < known:
            return
        grant = self.grant
        if grant is None or not grant.names(entry):
            return
        # A request sent before the grant may have been answered while the
        # endpoint was still a replica that lacked commits it received later.
        if sent_at < self.granted_at:
            return
        if now < grant.until:
            self.add_sample(sent_at, position)
        elif self.proof.is_allowed:
            self._hold_sample(sent_at, position)

    def record_proof(self, asked_at: float, position: Position) -> None:
        """Record a proof, and store the samples that waited for it.

        Args:
            asked_at: When the endpoints were asked.
            position: Position of the primary's log in its answer.
        """
        self.proof.record_success(asked_at)
        while self._unproved and self._unproved[0][0] <= asked_at:
            self.add_sample(*self._unproved.popleft())
        self.add_sample(asked_at, position)

    def find_primary_position(self) -> Position | None:
        """Return a position that the log of the granted primary must hold.

        A primary that was restarted without its log answers reads from what it
        has left. The beginning of its term is known before its first answer.
        """
        grant = self.grant
        if grant is None:
            return None
        known = [base for began, base in grant.bases if began == grant.term]
        known.append(self.positions.get(grant.endpoint_id))
        return max(filter(None, known), default=None)

    def add_sample(self, taken_at: float, position: Position) -> None:
        """Store a position of the primary's log as a sample."""
        samples = self._samples
        while samples and samples[0][0] < taken_at - _SAMPLE_RETENTION_S:
            samples.popleft()
        if samples and taken_at - samples[-1][0] < _SAMPLE_SPACING_S:
            return
        samples.append((taken_at, position))

    def find_covering_position(self, since: float) -> Position | None:
        """Return the lowest sample that covers all commits before ``since``."""
        for taken_at, position in self._samples:
            if taken_at >= since:
                return self.exclude_rolled_back(position)
        return None

    def exclude_rolled_back(self, position: Position) -> Position:
        """Return ``position`` cut to what no later term rolled back."""
        if self.grant is None:
            return position
        written = position.term
        for began, base in self.grant.bases:
            if began > written:
                position = min(position, base)
        return position

    def _hold_sample(self, taken_at: float, position: Position) -> None:
        """Keep a sample until a proof shows that its endpoint was primary."""
        held = self._unproved
        while held and held[0][0] < taken_at - _SAMPLE_RETENTION_S:
            held.popleft()
        if not held or taken_at - held[-1][0] >= _SAMPLE_SPACING_S:
            held.append((taken_at, position))
