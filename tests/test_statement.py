import pytest

from catkincrank.statement import Kind, classify, split


@pytest.mark.parametrize(
    ('text', 'kind'),
    [
        ('', Kind.EMPTY),
        (' ; ', Kind.EMPTY),
        ('-- note', Kind.EMPTY),
        ('select 1', Kind.READ),
        ('SELECT a FROM t WHERE id = $1;', Kind.READ),
        ("select count(*), max(a) from t where b = 'for update'", Kind.READ),
        ('(select 1) union (select 2)', Kind.READ),
        ('/* c */ select 1', Kind.READ),
        ('select pg_catalog.version()', Kind.READ),
        ('with x as (select 1) select * from x', Kind.READ),
        ('explain select 1', Kind.READ),
        ('explain analyze delete from t', Kind.WRITE),
        ('with x as (insert into t values (1)) select 1', Kind.WRITE),
        ('select * from t for update', Kind.WRITE),
        ('select * from t for no key update', Kind.WRITE),
        ('select * into u from t', Kind.WRITE),
        ("select nextval('s')", Kind.WRITE),
        ('select pay(1)', Kind.WRITE),
        ('select other.count(1)', Kind.WRITE),
        ('select "count"(1)', Kind.WRITE),
        ('select "for" from t', Kind.READ),
        ("select 'unfinished", Kind.WRITE),
        ('insert into t values (1)', Kind.WRITE),
        ('unheard of', Kind.WRITE),
        ('begin', Kind.BEGIN),
        ('START TRANSACTION READ ONLY', Kind.BEGIN),
        ('commit', Kind.COMMIT),
        ('end', Kind.COMMIT),
        ("commit prepared 'x'", Kind.STANDALONE),
        ('rollback', Kind.ROLLBACK),
        ('rollback to savepoint a', Kind.SAVEPOINT),
        ('release a', Kind.SAVEPOINT),
        ('set a = 1', Kind.SET),
        ('reset all', Kind.RESET),
        ('show a', Kind.SHOW),
        ('vacuum', Kind.STANDALONE),
        ('create database x', Kind.STANDALONE),
        ('create index concurrently i on t (a)', Kind.STANDALONE),
        ('listen x', Kind.SESSION),
        ('copy t from stdin', Kind.COPY),
    ],
)
def test_classify_returns_kind(text, kind):
    assert classify(text).kind is kind


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('create temp table t (a int)', True),
        ('select pg_advisory_lock(1)', True),
        ("insert into t select set_config('a', 'b', false)", True),
        ('insert into t values (1)', False),
        ('select 1', False),
    ],
)
def test_statement_with_session_state_is_detected(text, expected):
    assert classify(text).touches_session is expected


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('select 1;', ('select 1;',)),
        (';', ()),
        ('a; b ;c', ('a', 'b', 'c')),
        ("insert into t values (';'); b", ("insert into t values (';')", 'b')),
        ('a /* ; */; b -- ;', ('a /* ; */', 'b -- ;')),
        ('do $$ x; $$; b', ('do $$ x; $$', 'b')),
        ("a 'x;", ("a 'x;",)),
    ],
)
def test_split_returns_single_statements(text, expected):
    assert split(text) == expected
