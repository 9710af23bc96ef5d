"""Gives up on answers that evidence says will not come.

A statement may rightly take long, so time alone proves nothing. Two things do:
the primary that a write waits for has been replaced, or the instance has
answered nobody for a while although its group is heard of.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, final

import anyio

from catkincrank.feed import Feed

__all__ = ('AnswerMonitor', 'AwaitedAnswer', 'find_cause')

_SILENCE_S = 3.0
_NEWS_AGE_S = 1.0


@final
@dataclass(frozen=True, slots=True)
class AwaitedAnswer:
    """A statement that waits for its answer.

    Attributes:
        group: Group that it was sent to.
        endpoint: Instance that it was sent to.
        needs_primary: Whether it belongs to a transaction that may write.
        sent_at: When it was sent, in seconds.
    """

    group: str
    endpoint: str
    needs_primary: bool
    sent_at: float


class AnswerHolder(Protocol):
    """Holds a connection on which an answer may be awaited."""

    def describe_wait(self) -> AwaitedAnswer | None:
        """Return what is awaited, if anything is."""

    def give_up(self, cause: str) -> None:
        """End the wait; the connection must not be used again."""


def find_cause(answer: AwaitedAnswer, feed: Feed, now: float) -> str:
    """Return why ``answer`` will not come; empty while it may."""
    if answer.needs_primary:
        primary = feed.primary(answer.group)
        if primary and primary.status.endpoint != answer.endpoint:
            return 'the primary was replaced before it answered'
    if _is_silent(answer, feed, now):
        return 'the instance has answered nobody for a while'
    return ''


def _is_silent(answer: AwaitedAnswer, feed: Feed, now: float) -> bool:
    observations = feed.observations(answer.group)
    newest = max(
        (seen.taken_at for seen in observations.values()),
        default=float('-inf'),
    )
    if now - newest > _NEWS_AGE_S:
        return False
    own = observations.get(answer.endpoint)
    if own is None:
        return False
    return now - max(own.taken_at, answer.sent_at) > _SILENCE_S


@final
class AnswerMonitor:
    """Reviews the awaited answers of a group whenever it is learnt of.

    Args:
        feed: Evidence about the groups.
        holders: Holders of connections in use; may change between reviews.
    """

    __slots__ = ('_feed', '_holders')

    def __init__(self, feed: Feed, holders: Iterable[AnswerHolder]) -> None:
        self._feed = feed
        self._holders = holders
        feed.listen(self.review)

    def review(self, group: str) -> None:
        """Give up on answers of ``group`` that will not come."""
        now = anyio.current_time()
        for holder in tuple(self._holders):
            answer = holder.describe_wait()
            if answer is None or answer.group != group:
                continue
            cause = find_cause(answer, self._feed, now)
            if cause:
                holder.give_up(cause)
