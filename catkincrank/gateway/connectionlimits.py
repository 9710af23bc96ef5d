"""Divides the descriptors of a process among its connections."""

import resource
from dataclasses import dataclass
from typing import final

__all__ = ('ConnectionLimits', 'divide_descriptors')

# If the operating system sets no limit.
_DEFAULT_DESCRIPTORS = 65536
# The platform reserves this many descriptors for files.
_FILE_DESCRIPTORS = 200
# What callers, peers and HTTP leave is for links to endpoints, other processes
# and the store. The lease holder of a large fleet has a link from each member.
_CALLER_SHARE = 0.54
_PEER_SHARE = 0.3
_HTTP_SHARE = 1 / 100
_MIN_HTTP = 2
# Callers beyond the limit are told so one by one; this part of the callers'
# descriptors is held for that.
_REFUSAL_SHARE = 0.06


@final
@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Numbers of connections that a process accepts.

    Attributes:
        callers: Sessions of callers.
        refusals: Connections of further callers that are being refused.
        peers: Links from other processes.
        http: Connections to the readiness address; the same number to the
            address for metrics and state.
    """

    callers: int
    refusals: int
    peers: int
    http: int


def divide_descriptors(
    descriptors: int, max_callers: int = 0
) -> ConnectionLimits:
    """Return the limits of a process.

    Args:
        descriptors: Descriptors that the process may open; 0 if only the limit
            of the operating system applies, which holds in any case.
        max_callers: Sessions that it serves; 0 for as many as fit.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [one for one in (descriptors, allowed) if one > 0]
    most = min(known, default=_DEFAULT_DESCRIPTORS)
    sockets = most - min(_FILE_DESCRIPTORS, most // 2)
    for_callers = int(sockets * _CALLER_SHARE)
    refusals = max(1, int(for_callers * _REFUSAL_SHARE))
    return ConnectionLimits(
        callers=max_callers or for_callers - refusals,
        refusals=refusals,
        peers=int(sockets * _PEER_SHARE),
        http=max(_MIN_HTTP, int(sockets * _HTTP_SHARE)),
    )
