"""Opens the platform's service that a flag names."""

import importlib

from catkincrank.errors import OptionError
from catkincrank.store import Store, stores

__all__ = ('open_store',)

_DRIVERS = {'http': 'catkincrank.stores.http'}  # noqa: WPS407


def open_store(url: str) -> Store:
    """Return a client of the service at ``url``.

    Raises:
        OptionError: No driver takes such a URL.
    """
    scheme = url.partition('://')[0]
    if scheme not in _DRIVERS:
        raise OptionError('--store', url, 'a URL that begins with http://')
    importlib.import_module(_DRIVERS[scheme])
    return stores.find(scheme)(url)
