"""Errors that do not concern a single request; for those see ``verdict``."""

from typing import final

__all__ = (
    'CatkincrankError',
    'ConflictError',
    'EndpointError',
    'MessageError',
    'OptionError',
    'StoreUnavailableError',
)


class CatkincrankError(Exception):
    """Base class of every error this package raises."""


@final
class OptionError(CatkincrankError):
    """A flag, setting or session option has an invalid value.

    Args:
        option: Name or path of the option.
        given: The rejected value as text.
        accepted: Phrase that describes the accepted values.
    """

    def __init__(self, option: str, given: str, accepted: str) -> None:
        super().__init__(
            '{0}: {1!r} is not accepted; it takes {2}'.format(
                option,
                given,
                accepted,
            ),
        )
        self.option = option
        self.accepted = accepted


@final
class StoreUnavailableError(CatkincrankError):
    """The platform's store did not answer.

    Args:
        reason: What went wrong.
        may_have_applied: Whether a write may have taken effect.
    """

    def __init__(self, reason: str, *, may_have_applied: bool) -> None:
        super().__init__(reason)
        self.may_have_applied = may_have_applied


@final
class ConflictError(CatkincrankError):
    """A conditional write found a version other than the expected one.

    Args:
        key: Key of the row.
        expected: Version that the writer expected; 0 means no row.
        found: Version in the store.
    """

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(
            '{0}: expected version {1}, found {2}'.format(key, expected, found),
        )
        self.key = key
        self.expected = expected
        self.found = found


@final
class MessageError(CatkincrankError):
    """A message from another process could not be read."""


class EndpointError(CatkincrankError):
    """An endpoint failed to answer; the connection must not be reused.

    Args:
        reason: What went wrong; newlines are removed for logs and journals.
        was_sent: Whether any byte of the request may have reached it.
    """

    def __init__(self, reason: str, *, was_sent: bool) -> None:
        super().__init__(' '.join(reason.split()))
        self.was_sent = was_sent
