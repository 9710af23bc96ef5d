import io
import json

import pytest

from catkincrank.journal import Event, Journal
from catkincrank.logs import EventRecorder, configure_logs, log_event, redact


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        ({'password': 'x', 'n': 1}, {'password': '***', 'n': 1}),
        ({'a': [{'db_password': 'x'}]}, {'a': [{'db_password': '***'}]}),
        ('postgres://bo:x@h/db', 'postgres://bo:***@h/db'),
        ('host=h password=x', 'host=h password=***'),
        (('plain', 3), ['plain', 3]),
    ],
)
def test_redact(value, expected):
    assert redact(value) == expected


def test_lines_are_json_with_typed_fields():
    sink = io.StringIO()
    configure_logs('keeper-1', sink)
    log_event('started', port=7, braces='{x}<red>', password='hidden')
    EventRecorder(Journal('keeper-1')).record(Event('seal', 'a/b', 'c', 'd'))
    started, seal = map(json.loads, sink.getvalue().splitlines())
    assert started['event'] == 'started'
    assert (started['port'], started['braces']) == (7, '{x}<red>')
    assert started['password'] == '***'
    assert (seal['subject'], seal['source']) == ('a/b', 'keeper-1')
