"""Messages that spread settings between processes."""

from dataclasses import dataclass
from typing import final

from catkincrank.envelope import register_message

__all__ = (
    'SettingsDelta',
    'SettingsDigest',
    'SettingsEntry',
    'SettingsPush',
    'SettingsRequest',
    'SettingsUpdate',
    'TeamVersion',
)


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


@register_message('settingsRequest')
@final
@dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Asks for subtrees that are newer than the ones known.

    Attributes:
        known: Teams wanted, each with the version held; 0 for none.
    """

    known: tuple[TeamVersion, ...] = ()


@register_message('settingsUpdate')
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


@final
@dataclass(frozen=True, slots=True)
class SettingsEntry:
    """An entry of the settings index.

    Attributes:
        sequence: Its number; 0 when the sender does not know it.
        team: The team.
        version: Version that its subtree reaches.
        is_accepted: Whether that version is known to have been reached.
    """

    sequence: int
    team: str
    version: int
    is_accepted: bool = False


@register_message('settingsDigest')
@final
@dataclass(frozen=True, slots=True)
class SettingsDigest:
    """Asks a peer for index entries that the sender has not learnt.

    Attributes:
        sequence: The sender knows every entry up to this number.
        stamp: The sender's clock, in seconds; comes back in the answer.
    """

    sequence: int
    stamp: float


@register_message('settingsDelta')
@final
@dataclass(frozen=True, slots=True)
class SettingsDelta:
    """Answer to a digest.

    Attributes:
        sequence: The sender knows every entry up to this number.
        oldest: Number of the first entry that it can still give.
        stamp: Stamp of the digest.
        age_s: Age of its knowledge, in seconds; negative for none.
        entries: Entries after the digest's sequence.
    """

    sequence: int
    oldest: int
    stamp: float
    age_s: float
    entries: tuple[SettingsEntry, ...] = ()


@register_message('settingsPush')
@final
@dataclass(frozen=True, slots=True)
class SettingsPush:
    """Passes a change on as soon as it is known.

    Attributes:
        entry: The index entry.
        body: The row's bytes.
        change_id: Identifier of the change.
        crosses_zones: Whether it is to be passed on to other zones too.
    """

    entry: SettingsEntry
    body: bytes
    change_id: str
    crosses_zones: bool = False
