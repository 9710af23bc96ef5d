"""Converts errors into PostgreSQL error responses that state a verdict."""

from pg_mimic.errors import PgError

from catkincrank.endpoint import StatementError
from catkincrank.errors import OptionError
from catkincrank.verdict import Reason, RequestError, Verdict

__all__ = ('convert_error', 'fatal_fields')

_STANDARD_FIELDS = frozenset('SVCM')
_NOT_RUN = 'verdict: {0}'.format(Verdict.NOT_RUN.value)
_NOT_SUPPORTED = '0A000'


def convert_error(error: Exception) -> PgError:
    """Return the PostgreSQL error that reports ``error`` to the caller."""
    if isinstance(error, RequestError):
        return PgError(
            error.sqlstate,
            error.message,
            D=error.detail,
            H=error.hint,
        )
    if isinstance(error, StatementError):
        return _convert_statement_error(error)
    if isinstance(error, OptionError):
        return PgError(Reason.BAD_OPTION.value, str(error), D=_NOT_RUN)
    return PgError(_NOT_SUPPORTED, str(error))


def fatal_fields(error: PgError) -> dict[str, str]:
    """Return the fields of an error that ends the connection."""
    return {
        'S': 'FATAL',
        'V': 'FATAL',
        'C': error.sqlstate,
        'M': error.message,
        **error.fields,
    }


def _convert_statement_error(error: StatementError) -> PgError:
    fields = {
        code: text
        for code, text in error.fields.items()
        if code not in _STANDARD_FIELDS
    }
    detail = fields.get('D')
    fields['D'] = '{0}\n{1}'.format(detail, _NOT_RUN) if detail else _NOT_RUN
    return PgError(error.sqlstate, error.message, **fields)
