"""Tables and statements of the load.

Only one session writes each item, and it numbers the versions it writes. The
version that a read returns therefore shows which writes the read has seen.
"""

import re

__all__ = (
    'INSERT_PAYMENT',
    'INSERT_RECEIPT',
    'LIST_EFFECTS',
    'SCHEMA',
    'SELECT_VERSION',
    'find_request',
    'name_request',
)

SCHEMA = (
    'CREATE TABLE IF NOT EXISTS payments '
    '(request text, item text, version int8, amount int8)',
    'CREATE TABLE IF NOT EXISTS receipts (request text, amount int8)',
    'CREATE INDEX IF NOT EXISTS payments_item ON payments (item, version)',
)
INSERT_PAYMENT = (
    'INSERT INTO payments (request, item, version, amount) '
    'VALUES ($1, $2, $3, $4) RETURNING request'
)
INSERT_RECEIPT = 'INSERT INTO receipts (request, amount) VALUES ($1, $2)'
SELECT_VERSION = (
    'SELECT $1::text AS request, coalesce(max(version), 0) AS version '
    'FROM payments WHERE item = $2'
)
LIST_EFFECTS = 'SELECT request, item, version FROM payments'

_REQUEST = re.compile(r'request-\d+\Z')


def name_request(number: int) -> str:
    """Return the name of the request with this number."""
    return 'request-{0}'.format(number)


def find_request(text: str | None) -> str:
    """Return the request named by a statement parameter, or an empty text."""
    if text is None or _REQUEST.match(text) is None:
        return ''
    return text
