"""Messages that distribute settings between processes."""

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
    """Requests subtrees that are newer than those held.

    Attributes:
        known: Teams requested, each with the version held; 0 for none.
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
        version: Version of its subtree that the entry announces.
        is_accepted: Whether the store is known to have accepted it.
    """

    sequence: int
    team: str
    version: int
    is_accepted: bool = False


@register_message('settingsDigest')
@final
@dataclass(frozen=True, slots=True)
class SettingsDigest:
    """Requests index entries that the sender is missing.

    Attributes:
        sequence: The sender has every entry up to this number.
        stamp: The sender's clock, in seconds; echoed in the answer.
    """

    sequence: int
    stamp: float


@register_message('settingsDelta')
@final
@dataclass(frozen=True, slots=True)
class SettingsDelta:
    """Answer to a digest.

    Attributes:
        sequence: The sender has every entry up to this number.
        oldest: Number of the first entry that it still keeps.
        stamp: Stamp of the digest.
        age_s: Seconds since the sender was last up to date; negative if it
            never was.
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
    """Distributes a change immediately, ahead of polling and digests.

    Attributes:
        entry: The index entry.
        body: The row's bytes.
        change_id: Identifier of the change.
        crosses_zones: Whether to forward it to other zones too.
    """

    entry: SettingsEntry
    body: bytes
    change_id: str
    crosses_zones: bool = False
