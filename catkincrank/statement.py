"""Classifies statements for routing and connection pooling.

Statements are not parsed. The kind follows from the first words, and otherwise
from the words outside literals and comments. A statement that is not known to
be a read is treated as a write.
"""

import enum
import re
from dataclasses import dataclass
from functools import lru_cache
from itertools import pairwise
from types import MappingProxyType
from typing import final

from sqlglot.dialects.dialect import Dialect
from sqlglot.errors import TokenError
from sqlglot.tokens import Token, TokenType

from catkincrank.sqlfunctions import PURE_FUNCTIONS, SESSION_FUNCTIONS

__all__ = ('Kind', 'Statement', 'classify', 'split')

_CACHE_SIZE = 4096
_MAX_CACHED_CHARS = 8192
# Repetitions are possessive where two of them could match the same characters:
# a statement is as long as its caller likes.
_FIRST_WORD = re.compile(r'\s*+\(*+\s*+([A-Za-z]+)')
_PLAIN_READ = re.compile(
    r"[^;()\"'$\\/-]*+(?:\$\d++[^;()\"'$\\/-]*+)*+;?+\s*+\Z"
)
_SUSPECT_WORD = re.compile(r'\b(?:for|into)\b', re.IGNORECASE)
_READ_ONLY = re.compile(r'\bread\s+only\b', re.IGNORECASE)
_SESSION_WORD = re.compile(
    r'\b(?:temp|temporary|hold)\b',
    re.IGNORECASE,
)
_TO_SAVEPOINT = re.compile(r'\bto\b', re.IGNORECASE)
_PREPARED = re.compile(r'\bprepared\b', re.IGNORECASE)
_CONCURRENTLY = re.compile(r'\bconcurrently\b', re.IGNORECASE)
_ANALYZE = re.compile(r'\banaly[sz]e\b', re.IGNORECASE)
_WRITE_WORDS = frozenset(
    ('insert', 'update', 'delete', 'merge', 'into', 'for'),
)


@final
class Kind(enum.Enum):
    """Kind of a statement, which decides how the proxy handles it.

    ``STANDALONE`` statements run outside any transaction block; ``SESSION``
    statements use state of a connection that outlives a transaction.
    """

    EMPTY = 'empty'
    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SAVEPOINT = 'savepoint'
    SET = 'set'
    RESET = 'reset'
    SHOW = 'show'
    DISCARD = 'discard'
    STANDALONE = 'standalone'
    SESSION = 'session'
    COPY = 'copy'


@final
@dataclass(frozen=True, slots=True)
class Statement:
    """A statement and its kind.

    Attributes:
        text: The statement's text.
        kind: How the proxy handles it.
        is_read_only: Whether it begins a read-only transaction.
        touches_session: Whether it may leave state on its connection that
            outlives a transaction.
    """

    text: str
    kind: Kind
    is_read_only: bool = False
    touches_session: bool = False


_KINDS = MappingProxyType(
    {
        'select': Kind.READ,
        'with': Kind.READ,
        'values': Kind.READ,
        'table': Kind.READ,
        'explain': Kind.READ,
        'begin': Kind.BEGIN,
        'start': Kind.BEGIN,
        'commit': Kind.COMMIT,
        'end': Kind.COMMIT,
        'rollback': Kind.ROLLBACK,
        'abort': Kind.ROLLBACK,
        'savepoint': Kind.SAVEPOINT,
        'release': Kind.SAVEPOINT,
        'set': Kind.SET,
        'reset': Kind.RESET,
        'show': Kind.SHOW,
        'discard': Kind.DISCARD,
        'vacuum': Kind.STANDALONE,
        'reindex': Kind.STANDALONE,
        'cluster': Kind.STANDALONE,
        'listen': Kind.SESSION,
        'unlisten': Kind.SESSION,
        'prepare': Kind.SESSION,
        'execute': Kind.SESSION,
        'deallocate': Kind.SESSION,
        'declare': Kind.SESSION,
        'fetch': Kind.SESSION,
        'move': Kind.SESSION,
        'close': Kind.SESSION,
        'load': Kind.SESSION,
        'copy': Kind.COPY,
    }
)
_STANDALONE_OBJECTS = ('database', 'tablespace', 'system', 'subscription')


def classify(text: str) -> Statement:
    """Classify the statement ``text``."""
    if len(text) > _MAX_CACHED_CHARS:
        return _classify(text)
    return _classify_cached(text)


def split(text: str) -> tuple[str, ...]:
    """Return the non-empty statements of ``text``.

    Text that cannot be tokenized is returned whole; the endpoint rejects it.
    """
    if ';' not in text.strip().rstrip(';'):
        return (text,) if text.strip(' \t\r\n;') else ()
    tokens = _tokenize(text)
    if tokens is None:
        return (text,)
    ends = [
        token.start
        for token in tokens
        if token.token_type is TokenType.SEMICOLON
    ]
    starts = [0, *(end + 1 for end in ends)]
    parts = (
        text[start:end].strip()
        for start, end in zip(starts, (*ends, len(text)), strict=True)
    )
    return tuple(part for part in parts if part)


def _classify(text: str) -> Statement:
    word = _find_first_word(text)
    kind = _KINDS.get(word, Kind.WRITE if word else Kind.EMPTY)
    if kind is Kind.READ:
        return _classify_query(text, word)
    if kind is Kind.WRITE:
        return _classify_write(text, word)
    if kind in {Kind.COMMIT, Kind.ROLLBACK}:
        return Statement(text, _classify_end(text, kind))
    return Statement(
        text,
        kind,
        is_read_only=_READ_ONLY.search(text) is not None,
        touches_session=kind is Kind.SESSION,
    )


def _classify_end(text: str, kind: Kind) -> Kind:
    if _PREPARED.search(text):
        return Kind.STANDALONE
    if kind is Kind.ROLLBACK and _TO_SAVEPOINT.search(text):
        return Kind.SAVEPOINT
    return kind


_classify_cached = lru_cache(maxsize=_CACHE_SIZE)(_classify)


def _find_first_word(text: str) -> str:
    found = _FIRST_WORD.match(text)
    if found:
        return found.group(1).lower()
    tokens = _tokenize(text)
    if tokens is None:
        return 'unknown'
    words = [
        token.text.lower()
        for token in tokens
        if token.token_type not in {TokenType.L_PAREN, TokenType.SEMICOLON}
    ]
    return words[0] if words else ''


def _classify_write(text: str, word: str) -> Statement:
    if _CONCURRENTLY.search(text):
        return Statement(text, Kind.STANDALONE)
    words = text.lower().split(None, 2)
    is_global = len(words) > 1 and words[1] in _STANDALONE_OBJECTS
    if word in {'create', 'drop', 'alter'} and is_global:
        return Statement(text, Kind.STANDALONE)
    tokens = _tokenize(text) if '(' in text else ()
    touches = _SESSION_WORD.search(text) is not None
    touches = touches or tokens is None or _calls_session_function(tokens)
    return Statement(text, Kind.WRITE, touches_session=touches)


def _classify_query(text: str, word: str) -> Statement:
    if word == 'explain' and _ANALYZE.search(text):
        return Statement(text, Kind.WRITE, touches_session=True)
    if _PLAIN_READ.match(text) and not _SUSPECT_WORD.search(text):
        return Statement(text, Kind.READ)
    tokens = _tokenize(text)
    if tokens is None:
        return Statement(text, Kind.WRITE, touches_session=True)
    touches = _calls_session_function(tokens)
    words = {
        token.text.lower()
        for token in tokens
        if token.token_type not in {TokenType.STRING, TokenType.IDENTIFIER}
    }
    if words & _WRITE_WORDS or not _calls_only_pure(tokens):
        touches = touches or _SESSION_WORD.search(text) is not None
        return Statement(text, Kind.WRITE, touches_session=touches)
    return Statement(text, Kind.READ)


def _calls_session_function(tokens: list[Token]) -> bool:
    return any(
        token.text.lower() in SESSION_FUNCTIONS
        for _, token in _find_calls(tokens)
    )


def _calls_only_pure(tokens: list[Token]) -> bool:
    return all(
        token.token_type is not TokenType.IDENTIFIER
        and token.text.lower() in PURE_FUNCTIONS
        and _find_schema(tokens, place) in {'', 'pg_catalog'}
        for place, token in _find_calls(tokens)
    )


def _find_schema(tokens: list[Token], place: int) -> str:
    """Return the schema that qualifies a name; empty when none."""
    if place < 2 or tokens[place - 1].token_type is not TokenType.DOT:
        return ''
    return tokens[place - 2].text.lower()


def _find_calls(tokens: list[Token]) -> list[tuple[int, Token]]:
    """Return the name before each opening parenthesis and its place."""
    return [
        (place, token)
        for place, (token, following) in enumerate(pairwise(tokens))
        if following.token_type is TokenType.L_PAREN
        and (token.text[:1].isalpha() or token.text[:1] == '_')
        and token.token_type is not TokenType.STRING
    ]


def _tokenize(text: str) -> list[Token] | None:
    try:
        return Dialect.get_or_raise('postgres').tokenize(text)
    except TokenError:
        return None
