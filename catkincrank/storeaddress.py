"""Opens a client of the platform's service by its URL."""

import importlib

from catkincrank.errors import OptionError
from catkincrank.store import Store, stores

__all__ = ('open_store',)

_DRIVERS_PACKAGE = 'catkincrank.stores'


def open_store(url: str) -> Store:
    """Return a client of the service at ``url``.

    Raises:
        OptionError: No driver supports the URL.
    """
    scheme, separator, _ = url.partition('://')
    if not separator:
        raise OptionError('--store', url, 'a URL that begins with http://')
    importlib.import_module(_DRIVERS_PACKAGE)
    return stores.find(scheme)(url)
