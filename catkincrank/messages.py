"""Messages between the project's own processes; ``envelope`` has their form."""

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
    """First message on a link: who dials.

    Attributes:
        name: Name of the process.
        zone: Availability zone it runs in.
        role: ``keeper`` or ``proxy``.
        incarnation: Changes whenever the process starts.
    """

    name: str
    zone: str
    role: str
    incarnation: str


@register_message('heartbeat')
@final
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that the sender lives when it has nothing else to say.

    Attributes:
        name: Name of the sender.
        sequence: Rises with each heartbeat on the link.
    """

    name: str
    sequence: int


@register_message('probe')
@final
@dataclass(frozen=True, slots=True)
class Probe:
    """Asks a keeper whether it lives, or answers.

    Attributes:
        name: Name of the sender's VM.
        zone: Its availability zone.
        host: IP number that it listens on.
        port: TCP port that it listens on.
        number: Rises with each question; 0 in an answer.
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
    """Subscribes to groups; replaces what the link subscribed before.

    Attributes:
        groups: Names of the groups.
        stamp: The subscriber's clock when it sent this, in seconds.
        urgent: Groups whose state is awaited, so that they are read often.
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
        source: Incarnation of the publisher, whose clock the times are on.
        echo_stamp: Newest stamp of the subscriber that has arrived.
        echo_received: When it arrived, on the publisher's clock.
        observations: Observations, taken on the publisher's clock.
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
    """What a keeper thinks of an instance, told to those that share its duty.

    Attributes:
        group: Name of the group.
        endpoint: The instance.
        keeper: Name of the keeper.
        zone: Its availability zone.
        is_suspect: Whether it suspects the instance.
        silent_s: Time since it last heard from the instance, in seconds.
    """

    group: str
    endpoint: str
    keeper: str
    zone: str
    is_suspect: bool
    silent_s: float
