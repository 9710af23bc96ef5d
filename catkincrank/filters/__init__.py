"""Filters; importing the package fills their registry."""

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
