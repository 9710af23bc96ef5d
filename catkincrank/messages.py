"""Messages between the project's own processes, and their Cap'n Proto form.

Each message is a frozen data class filed under its member of the schema's
``Envelope`` union. ``encode_message`` and ``decode_message`` are the only way
to bytes and back; whatever is not a whole message of a known version raises
``MessageError``.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol, TypeVar, final

import capnp

from catkincrank.codec import build_packer, build_unpacker
from catkincrank.errors import MessageError
from catkincrank.instance import Observation
from catkincrank.registry import Registry

__all__ = (
    'SCHEMA_VERSION',
    'FeedRequest',
    'FeedUpdate',
    'Heartbeat',
    'Hello',
    'Message',
    'SettingsRequest',
    'SettingsUpdate',
    'SuspicionQuery',
    'SuspicionReply',
    'TeamVersion',
    'decode_message',
    'encode_message',
    'messages',
)

SCHEMA_VERSION = 1

_SCHEMA_PATH = Path(__file__).parent / 'schema' / 'control.capnp'
_MessageT = TypeVar('_MessageT', bound=type)

capnp.remove_import_hook()
_schema = capnp.load(str(_SCHEMA_PATH))


class Message(Protocol):
    """Any message that ``messages`` holds."""


messages: Registry[type[Any]] = Registry('message')
_members: dict[type[Any], str] = {}
_packers: dict[type[Any], Any] = {}
_unpackers: dict[str, Any] = {}


def _file(member: str) -> Any:
    def decorate(message_type: _MessageT) -> _MessageT:  # noqa: WPS430
        _members[message_type] = member
        _packers[message_type] = build_packer(message_type)
        _unpackers[member] = build_unpacker(message_type)
        return messages.register(member)(message_type)

    return decorate


@_file('hello')
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


@_file('heartbeat')
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


@_file('feedRequest')
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


@_file('feedUpdate')
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


@_file('suspicionQuery')
@final
@dataclass(frozen=True, slots=True)
class SuspicionQuery:
    """Asks another keeper whether an instance answers it.

    Attributes:
        group: Name of the group.
        endpoint: The instance.
        number: Comes back in the reply.
    """

    group: str
    endpoint: str
    number: int


@_file('suspicionReply')
@final
@dataclass(frozen=True, slots=True)
class SuspicionReply:
    """What a keeper thinks of an instance.

    Attributes:
        group: Name of the group.
        endpoint: The instance.
        number: Number of the query.
        keeper: Name of the keeper that answers.
        zone: Its availability zone.
        is_suspect: Whether it suspects the instance.
        silent_s: Time since it last heard from the instance, in seconds.
        watches: Whether it watches the instance at all.
    """

    group: str
    endpoint: str
    number: int
    keeper: str
    zone: str
    is_suspect: bool
    silent_s: float
    watches: bool


@final
@dataclass(frozen=True, slots=True)
class TeamVersion:
    """Version of one team's subtree.

    Attributes:
        team: Name of the team.
        version: Version of its row in the store.
    """

    team: str
    version: int


@_file('settingsRequest')
@final
@dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Asks for subtrees that are newer than the ones known.

    Attributes:
        known: Teams wanted, each with the version held; 0 for none.
    """

    known: tuple[TeamVersion, ...] = ()


@_file('settingsUpdate')
@final
@dataclass(frozen=True, slots=True)
class SettingsUpdate:
    """One version of a team's subtree.

    Attributes:
        team: Name of the team.
        version: Version of its row in the store.
        body: The row's bytes.
        change_id: Identifier of the change.
    """

    team: str
    version: int
    body: bytes
    change_id: str


def encode_message(message: Message) -> bytes:
    """Return the bytes of ``message``.

    Raises:
        MessageError: A field does not fit the schema.
    """
    message_type = type(message)
    packed = {
        'version': SCHEMA_VERSION,
        _members[message_type]: _packers[message_type](message),
    }
    try:
        return _schema.Envelope.new_message(**packed).to_bytes()
    except (capnp.KjException, OverflowError, ValueError) as error:
        raise MessageError(str(error)) from error


def decode_message(body: bytes) -> Message:
    """Return the message that ``body`` holds.

    Raises:
        MessageError: The bytes are not a whole message of a known version.
    """
    try:
        with _schema.Envelope.from_bytes(body) as envelope:
            unpacked = envelope.to_dict()
    except (capnp.KjException, RuntimeError, ValueError) as error:
        raise MessageError(str(error).splitlines()[0]) from None
    version = unpacked.pop('version', 0)
    if version != SCHEMA_VERSION:
        raise MessageError('schema version {0}'.format(version))
    return _unpack(unpacked)


def _unpack(unpacked: dict[str, Any]) -> Message:
    for member, unpack in _unpackers.items():
        packed = unpacked.get(member)
        if packed is None:
            continue
        try:
            return unpack(packed)
        except (KeyError, TypeError, ValueError) as error:
            raise MessageError('{0}: {1!r}'.format(member, error)) from None
    raise MessageError('unknown kind of message')
