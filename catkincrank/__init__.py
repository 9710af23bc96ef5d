"""Database proxy with session consistency, as a library with thin daemons."""

from catkincrank.history import History, LogMark
from catkincrank.tokens import SessionToken, decode_token, encode_token
from catkincrank.verdict import RequestError, Verdict

__all__ = (
    'History',
    'LogMark',
    'RequestError',
    'SessionToken',
    'Verdict',
    'decode_token',
    'encode_token',
)
__version__ = '0.1.0'
