"""Verifies a recorded run: final effects and the invariants."""

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

__all__ = ('count_violations', 'check_invariants', 'record_effects')

_VERDICT_PREFERENCE = (Verdict.RAN, Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN)


def record_effects(
    history: RecordedHistory,
    groups: Iterable[StandinGroup],
) -> None:
    """Record each effect found in the surviving logs."""
    submissions = _map_tags_to_submissions(history)
    for group in groups:
        survivor = max(group.instances(), key=_survivor_priority)
        for row in survivor.database.read(LIST_EFFECTS, {}):
            tag, item, version = row
            history.add(
                EffectFound(
                    submissions.get(str(tag), str(tag)),
                    str(item),
                    int(str(version)),
                    _find_request_key(history, submissions, str(tag)),
                ),
            )


def _survivor_priority(instance: StandinInstance) -> tuple[bool, LogMark]:
    """Prefer the newest primary, else the most advanced replica."""
    is_primary = instance.role is Role.PRIMARY and instance.is_serving
    return is_primary, instance.log.mark


def check_invariants(history: RecordedHistory) -> dict[str, list[Violation]]:
    """Return the violations of each invariant."""
    return check_history(history)


def count_violations(
    violations: dict[str, list[Violation]],
) -> dict[str, int]:
    """Return the number of violations of each invariant."""
    return {name: len(found) for name, found in violations.items()}


def _map_tags_to_submissions(history: RecordedHistory) -> dict[str, str]:
    """Return the submission that an effect is attributed to, by its tag.

    A retried request key has several submissions; the effect is attributed
    to the one with the strongest evidence of having run.
    """
    answers = {
        answer.request: answer.verdict
        for answer in history.of_kind(RequestAnswered)
    }
    by_tag: dict[str, list[str]] = defaultdict(list)
    for name in history.submissions():
        by_tag[name.partition('/')[0]].append(name)

    def rank(name: str) -> int:  # noqa: WPS430
        return _VERDICT_PREFERENCE.index(
            answers.get(name, Verdict.MAY_HAVE_RUN)
        )

    return {tag: min(names, key=rank) for tag, names in by_tag.items()}


def _find_request_key(
    history: RecordedHistory,
    submissions: dict[str, str],
    tag: str,
) -> str:
    request = history.submissions().get(submissions.get(tag, ''))
    return request.key if request else ''
