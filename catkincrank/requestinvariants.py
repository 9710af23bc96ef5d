"""Checkers of the invariants on requests and their answers."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from catkincrank.history import LogMark
from catkincrank.records import (
    EffectFound,
    RecordedHistory,
    RequestAnswered,
    RequestSubmitted,
    StatementPlace,
    StatementRan,
    TermBegan,
)
from catkincrank.verdict import Verdict
from catkincrank.violation import INVARIANTS, Violation

__all__ = (
    'check_acknowledgements',
    'check_answers',
    'check_at_most_once',
    'check_not_run',
    'check_sessions',
    'check_transactions',
)

_LAST_PLACES = frozenset((StatementPlace.LAST, StatementPlace.ALONE))


@INVARIANTS.register('session_consistency')
def check_sessions(history: RecordedHistory) -> Iterator[Violation]:
    """A read sees its session's writes and is no staler than it accepts."""
    answered = _list_answered(history)
    writes = defaultdict(list)
    for request, answer in answered:
        if request.is_write:
            writes[request.item].append((request, answer))
    for read, seen in answered:
        if not read.is_write:
            yield from _find_missed(read, seen, writes[read.item])


def _find_missed(
    read: RequestSubmitted,
    seen: RequestAnswered,
    writes: list[tuple[RequestSubmitted, RequestAnswered]],
) -> Iterator[Violation]:
    for write, written in writes:
        if _must_see(read, write, written) and seen.version < write.version:
            yield Violation(read.request, _explain_stale_read(write, seen))


def _list_answered(
    history: RecordedHistory,
) -> list[tuple[RequestSubmitted, RequestAnswered]]:
    """Return the requests known to have run, with their answers."""
    submissions = history.submissions()
    return [
        (submissions[answer.request], answer)
        for answer in history.of_kind(RequestAnswered)
        if answer.verdict is Verdict.RAN and answer.request in submissions
    ]


def _must_see(
    read: RequestSubmitted,
    write: RequestSubmitted,
    written: RequestAnswered,
) -> bool:
    """Whether ``read`` must see the effect of ``write``."""
    if write.session == read.session:
        return written.at <= read.at
    if read.max_staleness_s is None:
        return False
    return written.at < read.at - read.max_staleness_s


def _explain_stale_read(
    write: RequestSubmitted, answer: RequestAnswered
) -> str:
    return 'read version {0} of {1} after {2} had written version {3}'.format(
        answer.version,
        write.item,
        write.request,
        write.version,
    )


@INVARIANTS.register('no_acknowledgement_by_replaced_primary')
def check_acknowledgements(history: RecordedHistory) -> Iterator[Violation]:
    """An acknowledged write survives unless its policy permits the loss.

    Whatever the policy, a primary that has already been replaced must not
    acknowledge a write that its successor lacks.
    """
    terms = history.of_kind(TermBegan)
    surviving = {effect.request for effect in history.of_kind(EffectFound)}
    for write, answer in _list_answered(history):
        if not write.is_write or write.request in surviving:
            continue
        replaced = _find_replacement(terms, answer)
        is_excused = replaced is None and not answer.outlives_primary
        if is_excused or _is_found_by_key(history, write):
            continue
        yield Violation(write.request, _explain_loss(answer, replaced))


def _explain_loss(answer: RequestAnswered, replaced: TermBegan | None) -> str:
    return 'acknowledged at {0} s at {1} but lost; later term: {2}'.format(
        answer.at,
        answer.mark,
        replaced or 'none',
    )


def _is_found_by_key(
    history: RecordedHistory,
    write: RequestSubmitted,
) -> bool:
    """Whether a submission with the same key left the effect."""
    return bool(write.key) and any(
        effect.key == write.key for effect in history.of_kind(EffectFound)
    )


def _find_replacement(
    terms: list[TermBegan],
    answer: RequestAnswered,
) -> TermBegan | None:
    """Return a term without the write that began before the answer."""
    mark = answer.mark or LogMark(0, 0)
    for term in terms:
        lacks = term.term > mark.term and term.position < mark.position
        if lacks and term.at <= answer.at:
            return term
    return None


@INVARIANTS.register('transactions_not_mixed')
def check_transactions(history: RecordedHistory) -> Iterator[Violation]:
    """No statement runs inside another caller's transaction."""
    open_transactions: dict[str, str] = {}
    for ran in sorted(history.of_kind(StatementRan), key=_at):
        owner = open_transactions.get(ran.connection, ran.transaction)
        if owner != ran.transaction:
            yield Violation(
                ran.connection,
                '{0} ran a statement at {1} s inside {2}'.format(
                    ran.transaction,
                    ran.at,
                    owner,
                ),
            )
        if ran.place in _LAST_PLACES:
            open_transactions.pop(ran.connection, None)
        else:
            open_transactions[ran.connection] = ran.transaction


def _at(ran: StatementRan) -> float:
    return ran.at


@INVARIANTS.register('whole_answer_to_own_request')
def check_answers(history: RecordedHistory) -> Iterator[Violation]:
    """Each request gets exactly one answer, its own and complete."""
    submissions = history.submissions()
    answers = history.of_kind(RequestAnswered)
    counts = Counter(answer.request for answer in answers)
    for request, count in counts.items():
        if count > 1:
            yield Violation(request, 'received {0} answers'.format(count))
        if request not in submissions:
            yield Violation(request, 'answer without a recorded request')
    for answer in answers:
        if answer.echo and answer.echo != answer.request:
            explanation = 'received the answer to {0}'.format(answer.echo)
            yield Violation(answer.request, explanation)
        if not answer.is_complete and not answer.is_disconnected:
            yield Violation(answer.request, 'received an incomplete answer')


@INVARIANTS.register('not_run_did_not_run')
def check_not_run(history: RecordedHistory) -> Iterator[Violation]:
    """A request that was refused as "not run" left no effect."""
    refused = {
        answer.request
        for answer in history.of_kind(RequestAnswered)
        if answer.verdict is Verdict.NOT_RUN
    }
    for effect in history.of_kind(EffectFound):
        if effect.request in refused:
            yield Violation(
                effect.request,
                'refused as "not run", but wrote version {0} of {1}'.format(
                    effect.version,
                    effect.item,
                ),
            )


@INVARIANTS.register('non_idempotent_runs_at_most_once')
def check_at_most_once(history: RecordedHistory) -> Iterator[Violation]:
    """A request that is not idempotent leaves at most one effect."""
    submissions = history.submissions()
    effects: dict[str, list[str]] = defaultdict(list)
    for effect in history.of_kind(EffectFound):
        request = submissions.get(effect.request)
        if request is not None and not request.is_idempotent:
            name = request.key or request.request
            effects[name].append(effect.request)
    for key, requests in effects.items():
        if len(requests) > 1:
            explanation = 'ran {0} times, for submissions {1}'.format(
                len(requests),
                ', '.join(requests),
            )
            yield Violation(key, explanation)
