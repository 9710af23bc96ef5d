import pytest

from catkincrank.errors import OptionError
from catkincrank.history import LogMark
from catkincrank.optionparser import (
    OptionAssignment,
    parse_set,
    parse_startup_options,
)
from catkincrank.sessionoptions import SessionOptions
from catkincrank.tokens import SessionToken, encode_token

TOKEN = encode_token(SessionToken('sawari/ledger', LogMark(2, 7)))


@pytest.mark.parametrize(
    ('name', 'text', 'shown'),
    [
        ('session', TOKEN, TOKEN),
        ('session', '', ''),
        ('max_staleness', '0', '0s'),
        ('max_staleness', '200ms', '0.2s'),
        ('max_staleness', '5 s', '5s'),
        ('max_staleness', 'OWN_WRITES', 'own_writes'),
        ('request_key', 'k-1', 'k-1'),
        ('idempotent', 'OFF', 'off'),
        ('deadline', '1min', '60s'),
    ],
)
def test_assign_and_show(name, text, shown):
    options = SessionOptions()
    options.assign('catkincrank.{0}'.format(name), text)
    assert options.show('catkincrank.{0}'.format(name)) == shown
    options.reset('catkincrank.{0}'.format(name))
    assert options.current == SessionOptions().current


@pytest.mark.parametrize(
    ('name', 'text', 'accepted'),
    [
        ('session', 'x', 'SHOW catkincrank.session'),
        ('max_staleness', '-1', 'own_writes'),
        ('max_staleness', '5 weeks', 'own_writes'),
        ('max_staleness', '2000000s', 'at most a day'),
        ('request_key', 'k' * 201, '200 printable'),
        ('request_key', 'a\nb', '200 printable'),
        ('idempotent', 'maybe', 'on or off'),
        ('deadline', '0', 'above 0'),
        ('dead_line', '1', 'catkincrank.deadline'),
    ],
)
def test_refuses(name, text, accepted):
    options = SessionOptions()
    with pytest.raises(OptionError, match=accepted) as caught:
        options.assign('catkincrank.{0}'.format(name), text)
    assert caught.value.option == 'catkincrank.{0}'.format(name)
    assert options.current == SessionOptions().current


@pytest.mark.parametrize(
    ('is_local', 'is_committed', 'kept'),
    [
        (False, True, 'b'),
        (False, False, 'a'),
        (True, True, 'a'),
        (True, False, 'a'),
    ],
)
def test_transaction_scope(is_local, is_committed, kept):
    options = SessionOptions()
    name = 'catkincrank.request_key'
    options.assign(name, 'a')
    options.begin()
    options.assign(name, 'b', is_local=is_local)
    assert options.show(name) == 'b'
    options.end(is_committed=is_committed)
    assert options.show(name) == kept


@pytest.mark.parametrize(
    ('sql', 'expected'),
    [
        ("SET a.b = 'x''y';", OptionAssignment('a.b', "x'y")),
        ('set local A to 1', OptionAssignment('a', '1', is_local=True)),
        ('set session a to default', OptionAssignment('a', 'default')),
        ('set transaction read only', None),
        ('set time zone utc', None),
    ],
)
def test_parse_set(sql, expected):
    assert parse_set(sql) == expected


def test_parse_startup_options():
    text = r'-c catkincrank.deadline=5s -ca.b=x\ y --c-d=1'
    assert parse_startup_options(text) == [
        OptionAssignment('catkincrank.deadline', '5s'),
        OptionAssignment('a.b', 'x y'),
        OptionAssignment('c_d', '1'),
    ]
