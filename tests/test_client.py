import asyncpg
import psycopg
import pytest
from sqlalchemy.exc import OperationalError

from catkincrank.client import classify_error, format_options, quote_value
from catkincrank.optionparser import OptionAssignment, parse_startup_options
from catkincrank.verdict import Verdict


class Diagnostics:
    def __init__(self, detail, hint):
        self.message_detail = detail
        self.message_hint = hint


def make_psycopg(detail, hint=None):
    class Failed(psycopg.OperationalError):
        diag = Diagnostics(detail, hint)
        sqlstate = '53300'

    return Failed('failed')


def make_asyncpg(detail, hint=None):
    error = asyncpg.TooManyConnectionsError('failed')
    error.detail, error.hint = detail, hint
    return error


def make_sqlalchemy(detail, hint=None):
    return OperationalError('x', {}, make_psycopg(detail, hint))


@pytest.mark.parametrize('make', [make_psycopg, make_asyncpg, make_sqlalchemy])
@pytest.mark.parametrize(
    ('detail', 'hint', 'verdict', 'delay', 'session'),
    [
        ('verdict: not run', 'retry_after: 0.250', Verdict.NOT_RUN, 0.25, ''),
        ('x\nverdict: ran', None, Verdict.RAN, None, ''),
        (
            'verdict: may have run',
            'retry_after: never',
            Verdict.MAY_HAVE_RUN,
            None,
            '',
        ),
        (
            'verdict: not run',
            'retry_after: 0.000\nsession: abc',
            Verdict.NOT_RUN,
            0,
            'abc',
        ),
    ],
)
def test_classify_error(make, detail, hint, verdict, delay, session):
    failure = classify_error(make(detail, hint))
    assert failure.verdict is verdict
    assert failure.retry_after_s == delay
    assert failure.session == session
    assert failure.sqlstate == '53300'


def test_broken_connection_leaves_the_outcome_open():
    failure = classify_error(ConnectionResetError())
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert not failure.may_retry


def test_options_survive_the_startup_packet():
    text = format_options(session='a\\b c', max_staleness='5s')
    assert parse_startup_options(text) == [
        OptionAssignment('catkincrank.session', 'a\\b c'),
        OptionAssignment('catkincrank.max_staleness', '5s'),
    ]


def test_quote_value():
    assert quote_value("it's") == "'it''s'"
