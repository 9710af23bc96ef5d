"""Judges a recorded run: effects found at its end, and the nine promises."""

from collections import defaultdict
from collections.abc import Iterable

from catkincrank.history import LogMark
from catkincrank.instance import Role
from catkincrank.invariants import Violation, check_history
from catkincrank.load.workload import LIST_EFFECTS
from catkincrank.records import (
    EffectFound,
    RecordedHistory,
    RequestAnswered,
)
from catkincrank.standins.group import StandinGroup
from catkincrank.standins.instance import StandinInstance
from catkincrank.verdict import Verdict

__all__ = ('count_violations', 'judge', 'record_effects')

_BEST_FIRST = (Verdict.RAN, Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN)


def record_effects(
    history: RecordedHistory,
    groups: Iterable[StandinGroup],
) -> None:
    """Record each effect that the surviving logs hold."""
    submissions = _list_submissions(history)
    for group in groups:
        survivor = max(group.instances(), key=_rank)
        for row in survivor.database.read(LIST_EFFECTS, {}):
            tag, item, version = row
            history.add(
                EffectFound(
                    submissions.get(str(tag), str(tag)),
                    str(item),
                    int(str(version)),
                    _find_key(history, submissions, str(tag)),
                ),
            )


def _rank(instance: StandinInstance) -> tuple[bool, LogMark]:
    """Prefer the newest primary; without one, the fullest replica."""
    is_primary = instance.role is Role.PRIMARY and instance.is_serving
    return is_primary, instance.log.mark


def judge(history: RecordedHistory) -> dict[str, list[Violation]]:
    """Return the violations of each promise."""
    return check_history(history)


def count_violations(
    violations: dict[str, list[Violation]],
) -> dict[str, int]:
    """Return the number of violations of each promise."""
    return {name: len(found) for name, found in violations.items()}


def _list_submissions(history: RecordedHistory) -> dict[str, str]:
    """Return the submission that an effect is put down to, by its tag.

    A key that was sent again has several; the one that ran explains the
    effect best.
    """
    answers = {
        answer.request: answer.verdict
        for answer in history.of_kind(RequestAnswered)
    }
    by_tag: dict[str, list[str]] = defaultdict(list)
    for name in history.submissions():
        by_tag[name.partition('/')[0]].append(name)

    def rank(name: str) -> int:  # noqa: WPS430
        return _BEST_FIRST.index(answers.get(name, Verdict.MAY_HAVE_RUN))

    return {tag: min(names, key=rank) for tag, names in by_tag.items()}


def _find_key(
    history: RecordedHistory,
    submissions: dict[str, str],
    tag: str,
) -> str:
    request = history.submissions().get(submissions.get(tag, ''))
    return request.key if request else ''
