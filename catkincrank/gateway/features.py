"""What builds can do beyond the first one that others run beside.

Each member states the features of its build in its row. One that an older build
would misread takes effect once every member has it.
"""

from collections.abc import Iterable
from typing import Final

from catkincrank.gateway.fleetrecords import MemberRecord

__all__ = ('FEATURES', 'LIMIT_SHARDS', 'list_lacking')

# Limits on operations are divided into shards that VMs own.
LIMIT_SHARDS: Final = 'limit-shards'
# Features of this build.
FEATURES: Final = (LIMIT_SHARDS,)


def list_lacking(feature: str, members: Iterable[MemberRecord]) -> list[str]:
    """Return the names of the members whose builds lack a feature."""
    return [member.name for member in members if feature not in member.features]
