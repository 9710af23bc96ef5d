"""Translation of PostgreSQL statements to the dialect of SQLite."""

import enum
import re
from dataclasses import dataclass
from typing import final

import sqlglot
from pg_mimic import (
    BOOL,
    INT8,
    NUMERIC,
    TEXT,
    TIMESTAMPTZ,
    PgError,
    ResultColumn,
)
from sqlglot import exp

from catkincrank.standins.schema import Schema, find_oid

__all__ = ('NOW_FUNCTION', 'StatementKind', 'Translation', 'translate')

NOW_FUNCTION = 'standin_now'
_SYNTAX_ERROR = '42601'
_PARAMETER = re.compile(r"'(?:[^']|'')*'|\$(\d+)")
_PARAMETER_NAME = 'p{0}'
_UNNAMED_COLUMN = '?column?'
_COMPARISONS = (exp.EQ, exp.NEQ, exp.GT, exp.GTE, exp.LT, exp.LTE, exp.Binary)
_PREDICATES = (exp.EQ, exp.NEQ, exp.GT, exp.GTE, exp.LT, exp.LTE, exp.Exists)
_SAME_TYPE = (exp.Sum, exp.Max, exp.Min, exp.Coalesce, exp.Paren, exp.Neg)


@final
class StatementKind(enum.Enum):
    """Effect of a statement on the database."""

    READ = 'read'
    LOCKING_READ = 'locking read'
    WRITE = 'write'


@final
@dataclass(frozen=True, slots=True)
class Translation:
    """A statement in the engine's dialect.

    Attributes:
        kind: Its effect on the database.
        sql: Its text in the engine's dialect.
        parameter_oids: Type OID of each parameter.
        columns: Result columns; ``None`` when it returns no rows.
        tree: The parsed statement.
    """

    kind: StatementKind
    sql: str
    parameter_oids: tuple[int, ...]
    columns: tuple[ResultColumn, ...] | None
    tree: exp.Expression


def translate(sql: str, schema: Schema) -> Translation:
    """Return ``sql`` in the engine's dialect.

    Raises:
        PgError: The statement can't be parsed.
    """
    try:
        tree = sqlglot.parse_one(_name_parameters(sql), dialect='postgres')
    except sqlglot.errors.SqlglotError as error:
        raise PgError(_SYNTAX_ERROR, str(error).splitlines()[0]) from None
    kind = StatementKind.WRITE
    if isinstance(tree, exp.Query):
        kind = (
            StatementKind.LOCKING_READ
            if tree.args.get('locks')
            else StatementKind.READ
        )
    tree.set('locks', [])
    if isinstance(tree, exp.Create):
        _omit_null_order(tree)
    return Translation(
        kind,
        tree.transform(_replace_now).sql(dialect='sqlite'),
        _infer_parameter_types(tree, schema),
        _describe_columns(tree, schema),
        tree,
    )


def _name_parameters(sql: str) -> str:
    return _PARAMETER.sub(_name_parameter, sql)


def _name_parameter(match: re.Match[str]) -> str:
    if match.group(1) is None:
        return match.group(0)
    return ':{0}'.format(_PARAMETER_NAME.format(match.group(1)))


def _omit_null_order(tree: exp.Expression) -> None:
    """Keep ``NULLS FIRST`` and ``NULLS LAST`` out of an index declaration."""
    for ordered in tree.find_all(exp.Ordered):
        ordered.set('nulls_first', not ordered.args.get('desc'))


def _replace_now(node: exp.Expression) -> exp.Expression:
    if isinstance(node, exp.CurrentTimestamp):
        return exp.Paren(this=exp.Anonymous(this=NOW_FUNCTION))
    return node


def _infer_parameter_types(
    tree: exp.Expression, schema: Schema
) -> tuple[int, ...]:
    oids: dict[int, int] = {}
    for node in tree.find_all(exp.Placeholder):
        number = int(node.name.removeprefix('p'))
        found = _infer_parameter_type(node, schema)
        if oids.get(number, TEXT) == TEXT:
            oids[number] = found
    count = max(oids, default=0)
    return tuple(oids.get(number, TEXT) for number in range(1, count + 1))


def _infer_parameter_type(node: exp.Expression, schema: Schema) -> int:
    parent = node.parent
    if isinstance(parent, exp.Cast):
        return find_oid(parent.to)
    if isinstance(parent, exp.Tuple) and isinstance(parent.parent, exp.Values):
        return _infer_inserted_type(parent, node, schema)
    if isinstance(parent, (exp.Limit, exp.Offset)):
        return INT8
    if isinstance(parent, _COMPARISONS):
        other = parent.left if parent.right is node else parent.right
        return _infer_type(other, schema)
    if isinstance(parent, exp.In):
        return _infer_type(parent.this, schema)
    return TEXT


def _infer_inserted_type(
    row: exp.Tuple,
    node: exp.Expression,
    schema: Schema,
) -> int:
    insert = row.find_ancestor(exp.Insert)
    if insert is None:
        return TEXT
    target = insert.this
    table = target.find(exp.Table)
    declared = schema.tables.get(table.name if table else '', {})
    names = [column.name for column in target.expressions] or list(declared)
    index = [id(each) for each in row.expressions].index(id(node))
    if index >= len(names):
        return TEXT
    return declared.get(names[index], TEXT)


def _describe_columns(
    tree: exp.Expression,
    schema: Schema,
) -> tuple[ResultColumn, ...] | None:
    selected = _list_selected(tree)
    if selected is None:
        return None
    columns: list[ResultColumn] = []
    for each in selected:
        if isinstance(each, exp.Star) or each.is_star:
            columns.extend(_expand_star(tree, schema))
        else:
            oid = _infer_type(each, schema)
            columns.append(ResultColumn(_name_column(each), oid))
    return tuple(columns)


def _list_selected(tree: exp.Expression) -> list[exp.Expression] | None:
    if isinstance(tree, exp.Query):
        return tree.selects
    returning = tree.args.get('returning')
    return returning.expressions if returning else None


def _expand_star(tree: exp.Expression, schema: Schema) -> list[ResultColumn]:
    return [
        ResultColumn(name, oid)
        for table in tree.find_all(exp.Table)
        for name, oid in schema.tables.get(table.name, {}).items()
    ]


def _name_column(node: exp.Expression) -> str:
    if node.alias_or_name:
        return node.alias_or_name
    if isinstance(node, exp.Func):
        return node.sql_name().lower()
    return _UNNAMED_COLUMN


def _infer_type(node: exp.Expression | None, schema: Schema) -> int:
    if isinstance(node, exp.Alias):
        return _infer_type(node.this, schema)
    if isinstance(node, exp.Column):
        return schema.find_column(node.name)
    if isinstance(node, exp.Cast):
        return find_oid(node.to)
    if isinstance(node, exp.Count):
        return INT8
    if isinstance(node, exp.CurrentTimestamp):
        return TIMESTAMPTZ
    return _infer_expression_type(node, schema)


def _infer_expression_type(node: exp.Expression | None, schema: Schema) -> int:
    if isinstance(node, (exp.Boolean, *_PREDICATES)):
        return BOOL
    if isinstance(node, exp.Literal) and node.is_number:
        return INT8 if node.is_int else NUMERIC
    if isinstance(node, (*_SAME_TYPE, exp.Binary)):
        return _infer_type(node.this, schema)
    return TEXT
