"""Log lines about rows that cannot be decoded."""

from catkincrank.gateway.rowstore import RowChange
from catkincrank.logs import log_event

__all__ = ('log_unreadable',)


def log_unreadable(row: RowChange, error: Exception) -> None:
    """Log that a row is malformed; it is used as if it were missing."""
    log_event(
        'row_unreadable',
        'ERROR',
        key=row.key,
        version=str(row.revision),
        cause=str(error),
    )
