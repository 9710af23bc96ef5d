"""Records of groups from before the platform's store was restored."""

from typing import final

from catkincrank.gateway.fleetrecords import GroupRecord
from catkincrank.gateway.rowstore import Revision

__all__ = ('EarlierRecords',)


@final
class EarlierRecords:
    """What a process knew of the groups in earlier eras of the store.

    The restored store may lack a promotion or the mark of a replacement. A
    record is kept until a lease holder has confirmed the group's row in the
    new era.

    Attributes:
        granted_by: For each group, the reading that its last grant of an
            earlier era is based on.
        announced_era: Newest era of the store that a peer has announced.
    """

    __slots__ = ('_records', 'announced_era', 'granted_by')

    def __init__(self) -> None:
        self._records: dict[str, GroupRecord] = {}
        self.granted_by: dict[str, Revision] = {}
        self.announced_era = 0

    def add(self, record: GroupRecord) -> None:
        """Keep a record unless a newer one is known."""
        self._records[record.service] = self.find_newest(record.service, record)

    def forget(self, service: str) -> None:
        """Forget a group whose row has been confirmed."""
        self._records.pop(service, None)
        self.granted_by.pop(service, None)

    def find_newest(
        self, service: str, record: GroupRecord | None
    ) -> GroupRecord | None:
        """Return the newer one of a row's record and the kept one.

        Of two records of one term, the one with the mark of a replacement is
        taken: a promotion may have followed the mark.
        """
        known = [
            one
            for one in (self._records.get(service), record)
            if one is not None
        ]
        return max(known, key=_rank, default=None)

    def list_records(self) -> tuple[GroupRecord, ...]:
        """Return the kept records."""
        return tuple(self._records.values())


def _rank(record: GroupRecord) -> tuple[int, bool]:
    return record.term, record.is_replacing
