"""Encodes rows of the store's tables for transfer between processes.

A configuration with a thousand routes takes a second on the slowest links,
longer than peers wait for an answer; compressed it takes a tenth of that.
"""

import zlib
from typing import final

from catkincrank.errors import MessageError
from catkincrank.gateway.peermessages import TableRow
from catkincrank.gateway.rowstore import Revision, RowChange

__all__ = ('RowPacker', 'unpack_row')

# Rows below this size gain little.
_MIN_COMPRESSED_BYTES = 2048
# Larger than any row that the store accepts.
_MAX_BODY_BYTES = 4 * 1024 * 1024


@final
class RowPacker:
    """Packs rows; compresses each large row once for all peers."""

    __slots__ = ('_compressed',)

    def __init__(self) -> None:
        self._compressed: dict[tuple[str, str], tuple[Revision, bytes]] = {}

    def pack(
        self, table: str, row: RowChange, *, may_compress: bool
    ) -> TableRow:
        """Return the message that holds a row of a table.

        Args:
            table: Name of the table.
            row: The row.
            may_compress: Whether the receiver can decompress it.
        """
        body = row.body or b''
        is_compressed = may_compress and len(body) >= _MIN_COMPRESSED_BYTES
        if is_compressed:
            body = self._compress(table, row)
        return TableRow(
            row.key,
            row.revision.version,
            body,
            row.body is None,
            is_compressed,
        )

    def _compress(self, table: str, row: RowChange) -> bytes:
        place = table, row.key
        known = self._compressed.get(place)
        if known is None or known[0] != row.revision:
            known = row.revision, zlib.compress(row.body or b'')
            self._compressed[place] = known
        return known[1]


def unpack_row(row: TableRow, era: int) -> RowChange:
    """Return the row in a message of a peer.

    Raises:
        MessageError: The body cannot be decompressed.
    """
    body = None if row.is_removed else bytes(row.body)
    if body and row.is_compressed:
        body = _decompress(body)
    return RowChange(row.key, body, Revision(era, row.version))


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(body, _MAX_BODY_BYTES)
    except zlib.error as error:
        raise MessageError(
            'row cannot be decompressed: {0}'.format(error)
        ) from None
    if not decompressor.eof:
        raise MessageError(
            'row is larger than {0} bytes'.format(_MAX_BODY_BYTES)
        )
    return content
