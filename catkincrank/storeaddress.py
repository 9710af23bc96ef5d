"""Opens the platform's service that a flag names."""

import importlib

from catkincrank.errors import OptionError
from catkincrank.store import Store, stores

__all__ = ('open_store',)

_DRIVERS_PACKAGE = 'catkincrank.stores'


def open_store(url: str) -> Store:
    """Return a client of the service at ``url``.

    Raises:
        OptionError: No driver takes such a URL.
    """
    scheme, separator, _ = url.partition('://')
    if not separator:
        raise OptionError('--store', url, 'a URL that begins with http://')
    importlib.import_module(_DRIVERS_PACKAGE)
    return stores.find(scheme)(url)
