"""Built-in filters; importing this package registers them."""

from catkincrank.filters import (
    access,
    acknowledgement,
    deadline,
    readrule,
    requestkey,
    retry,
)

__all__ = (
    'access',
    'acknowledgement',
    'deadline',
    'readrule',
    'requestkey',
    'retry',
)
