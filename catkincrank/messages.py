"""Messages between keepers and proxies, encoded by ``envelope``."""

from dataclasses import dataclass
from typing import final

from catkincrank.drainmessages import DrainNotice
from catkincrank.envelope import (
    SCHEMA_VERSION,
    Message,
    decode_message,
    encode_message,
    messages,
    register_message,
)
from catkincrank.instance import Observation
from catkincrank.linkmessages import Heartbeat
from catkincrank.settingsmessages import (
    SettingsDelta,
    SettingsDigest,
    SettingsEntry,
    SettingsPush,
    SettingsRequest,
    SettingsUpdate,
    TeamVersion,
)

__all__ = (
    'SCHEMA_VERSION',
    'DrainNotice',
    'FeedRequest',
    'FeedUpdate',
    'Heartbeat',
    'Hello',
    'Message',
    'Probe',
    'SettingsDelta',
    'SettingsDigest',
    'SettingsEntry',
    'SettingsPush',
    'SettingsRequest',
    'SettingsUpdate',
    'SuspicionReport',
    'TeamVersion',
    'decode_message',
    'encode_message',
    'messages',
)


@register_message('hello')
@final
@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a link; identifies the process that dialled.

    Attributes:
        name: Name of the process.
        zone: Availability zone it runs in.
        role: ``keeper`` or ``proxy``.
        incarnation: Identifier that changes at each start of the process.
    """

    name: str
    zone: str
    role: str
    incarnation: str


@register_message('probe')
@final
@dataclass(frozen=True, slots=True)
class Probe:
    """Liveness probe between keepers, or the answer to one.

    Attributes:
        name: Name of the sender's VM.
        zone: Its availability zone.
        host: IP address that it listens on.
        port: TCP port that it listens on.
        number: Number of the probe; 0 in an answer.
        is_leaving: Whether the sender is about to stop.
    """

    name: str
    zone: str
    host: str
    port: int
    number: int = 0
    is_leaving: bool = False


@register_message('feedRequest')
@final
@dataclass(frozen=True, slots=True)
class FeedRequest:
    """Subscribes to groups; replaces the link's previous subscription.

    Attributes:
        groups: Names of the groups.
        stamp: The subscriber's clock when it sent this, in seconds.
        urgent: Groups whose state is awaited; they are polled more often.
    """

    groups: tuple[str, ...] = ()
    stamp: float = 0
    urgent: tuple[str, ...] = ()


@register_message('feedUpdate')
@final
@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """Newest observations of one group.

    Attributes:
        group: Name of the group.
        source: Incarnation of the publisher, to whose clock all times but
            ``echo_stamp`` refer.
        echo_stamp: Newest stamp received from the subscriber.
        echo_received: When it was received.
        observations: Observations, with the times at which they were made.
    """

    group: str
    source: str
    echo_stamp: float
    echo_received: float
    observations: tuple[Observation, ...] = ()


@register_message('suspicionReport')
@final
@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """A keeper's suspicion, sent to the others on duty for the group.

    Attributes:
        group: Name of the group.
        endpoint: The suspected instance.
        keeper: Name of the keeper.
        zone: Its availability zone.
        is_suspect: Whether it suspects the instance.
        silent_s: Time since the instance last answered it, in seconds.
    """

    group: str
    endpoint: str
    keeper: str
    zone: str
    is_suspect: bool
    silent_s: float
