import pytest

from benchmarks.oracle import judge_reads
from benchmarks.result import Figures, check_bounds, load_bounds
from catkincrank.records import (
    RecordedHistory,
    RequestAnswered,
    RequestSubmitted,
    StatementPlace,
    StatementRan,
)
from catkincrank.verdict import Verdict


def make_history(commit_at, read_at, age_s, session='session-0.0'):
    submit = RequestSubmitted
    return RecordedHistory(
        [
            submit(commit_at - 0.1, 'request-1/1', 'session-0.0', version=1),
            StatementRan(
                commit_at, 't/s/a', 'c', 'request-1', StatementPlace.LAST
            ),
            RequestAnswered(commit_at, 'request-1/1', Verdict.RAN),
            submit(read_at, 'request-2/1', session, max_staleness_s=age_s),
            RequestAnswered(read_at + 0.1, 'request-2/1', Verdict.RAN),
        ]
    )


@pytest.mark.parametrize(
    ('commit_at', 'age_s', 'session', 'expected'),
    [
        (9.9, 5, 'session-0.0', 0),
        (9.5, 5, 'session-0.0', 1),
        (9.9, 5, 'session-3.0', 1),
        (9.9, 0, 'session-3.0', 0),
        (9.5, 0, 'session-3.0', 1),
        (9.9, None, 'session-3.0', 1),
        (9.9, None, 'session-0.0', 0),
    ],
)
def test_oracle_counts_reads_that_a_replica_could_serve(
    commit_at, age_s, session, expected
):
    history = make_history(commit_at, 10, age_s, session)
    share = judge_reads(history, ['t/s'], 0.2, by_replicas=1)
    assert (share.reads, share.possible) == (1, expected)


def test_bounds_have_sources_and_reject_figures_beyond_them():
    assert all(bound.source for bound in load_bounds())
    figures = Figures()
    figures.put('failover_gap_max_s', 13.9)
    figures.put('replica_share_of_possible_x', 0.95)
    figures.put('keeper_resident_mb', None)
    assert check_bounds(figures) == []
    figures.put('failover_gap_max_s', float('inf'))
    figures.put('replica_share_of_possible_x', 0.9)
    assert len(check_bounds(figures)) == 2
