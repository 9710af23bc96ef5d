"""Database proxy with session consistency, as a library with thin daemons."""

import importlib
from typing import TYPE_CHECKING, Any

# Before all other modules of the package, as a signal while they are imported
# would end a gateway.
import catkincrank.earlysignals  # noqa: F401, WPS301

if TYPE_CHECKING:
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

# Imported when first used: every program imports this package before it binds
# its sockets.
_MODULES = {  # noqa: WPS407
    'History': 'history',
    'LogMark': 'history',
    'RequestError': 'verdict',
    'SessionToken': 'tokens',
    'Verdict': 'verdict',
    'decode_token': 'tokens',
    'encode_token': 'tokens',
}


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Return a name of the public interface.

    Raises:
        AttributeError: The package has no such name.
    """
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(name)
    path = '{0}.{1}'.format(__name__, module)
    return getattr(importlib.import_module(path), name)
