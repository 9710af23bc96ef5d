"""Database proxy with session consistency, as a library with thin daemons."""

# First, as a signal during the other imports would end a gateway.
import catkincrank.earlysignals  # noqa: F401, WPS301
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
