"""Size and processor time of each message between processes."""

import timeit
from dataclasses import dataclass
from typing import Any, final

from catkincrank.envelope import decode_message, encode_message
from catkincrank.history import History, TermStart
from catkincrank.instance import InstanceStatus, Observation, Role
from catkincrank.messages import (
    FeedRequest,
    FeedUpdate,
    Heartbeat,
    Probe,
    SettingsDelta,
    SettingsDigest,
    SettingsEntry,
    SettingsPush,
    SuspicionReport,
)

__all__ = ('MessageCost', 'measure_messages')

_ROUNDS = 2000
_MICROSECONDS_PER_SECOND = 1e6
_BODY = b' ' * 600
_GROUP = 'sawari-finance/loan-ledger-1'
_HISTORY = History(
    tuple(TermStart(term, term * 1000000) for term in range(1, 6)),
)


@final
@dataclass(frozen=True, slots=True)
class MessageCost:
    """Cost of one kind of message.

    Attributes:
        size: Bytes on the wire, with the frame's header.
        encode_us: Processor time to encode it, in microseconds.
        decode_us: Processor time to decode it, in microseconds.
    """

    size: int
    encode_us: float
    decode_us: float


def measure_messages() -> dict[str, MessageCost]:
    """Return the cost of each kind of message."""
    return {type(message).__name__: _measure(message) for message in _samples()}


def _samples() -> list[Any]:
    statuses = [
        InstanceStatus(
            'ledger-{0}'.format(name),
            '4f1c8a2e',
            Role.REPLICA if name else Role.PRIMARY,
            _HISTORY,
            123456789,
            123456700,
            'ledger-0' if name else '',
        )
        for name in range(3)
    ]
    observations = tuple(Observation(status, 1.5) for status in statuses)
    entry = SettingsEntry(81234, 'sawari-finance', 17, is_accepted=True)
    return [
        Heartbeat('vm-kathmandu-7', 123456),
        FeedRequest((_GROUP,), 1.5),
        FeedUpdate(_GROUP, '4f1c8a2e', 1.5, 2.5, observations),
        Probe('vm-kathmandu-7', 'kathmandu', '10.11.12.13', 7432, 123456),
        SuspicionReport(
            _GROUP,
            'ledger-0',
            'vm-kathmandu-7',
            'kathmandu',
            is_suspect=True,
            silent_s=1.5,
        ),
        SettingsDigest(81234, 1.5),
        SettingsDelta(81234, 80978, 1.5, 0.7),
        SettingsPush(entry, _BODY, '4f1c8a2e4f1c8a2e'),
    ]


def _measure(message: Any) -> MessageCost:
    body = encode_message(message)
    encode_s = min(
        timeit.repeat(lambda: encode_message(message), number=_ROUNDS),
    )
    decode_s = min(timeit.repeat(lambda: decode_message(body), number=_ROUNDS))
    return MessageCost(
        len(body) + 4,
        encode_s / _ROUNDS * _MICROSECONDS_PER_SECOND,
        decode_s / _ROUNDS * _MICROSECONDS_PER_SECOND,
    )
