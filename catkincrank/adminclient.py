"""Client of the admin ports of other processes."""

from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from typing import Any, final

import anyio
import msgspec

from catkincrank.errors import CatkincrankError
from catkincrank.listenaddress import parse_address

__all__ = ('AdminAddress', 'AdminError', 'ProcessState', 'call', 'fetch_states')

_TIMEOUT_S = 5
_OK = 200


@final
class AdminError(CatkincrankError):
    """An admin port did not answer, or answered with an error."""


@final
@dataclass(frozen=True, slots=True)
class AdminAddress:
    """Address of an admin port.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'AdminAddress':
        """Parse ``HOST:PORT``."""
        parsed = parse_address('admin', text, 'HOST:PORT')
        return cls(parsed.host, parsed.port)

    def __str__(self) -> str:
        return '{0}:{1}'.format(self.host, self.port)


@final
@dataclass(frozen=True, slots=True)
class ProcessState:
    """State dump of a process, or the error met when fetching it.

    Attributes:
        address: The process's admin port.
        state: The dump; empty after an error.
        error: Error message; empty on success.
    """

    address: AdminAddress
    state: dict[str, Any]
    error: str = ''


async def call(address: AdminAddress, method: str, path: str) -> Any:
    """Send a request to an admin port and decode its JSON response.

    Raises:
        AdminError: The port did not answer, or not with status 200 and JSON.
    """
    status, body = await anyio.to_thread.run_sync(
        _send_request,
        address,
        method,
        path,
        abandon_on_cancel=True,
    )
    if status != _OK:
        raise AdminError(
            '{0}{1}: {2} {3}'.format(
                address, path, status, body.decode('utf-8', 'replace')
            ),
        )
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise AdminError(
            '{0}{1}: malformed answer: {2}'.format(address, path, error),
        ) from None


async def fetch_states(
    addresses: tuple[AdminAddress, ...],
) -> list[ProcessState]:
    """Return the state of each process, in the order of ``addresses``."""
    states: dict[AdminAddress, ProcessState] = {}
    async with anyio.create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(_fetch_state, address, states)
    return [states[asked] for asked in addresses]


async def _fetch_state(
    address: AdminAddress,
    states: dict[AdminAddress, ProcessState],
) -> None:
    try:
        state = await call(address, 'GET', '/state')
    except AdminError as error:
        states[address] = ProcessState(address, {}, str(error))
    else:
        states[address] = ProcessState(address, state)


def _send_request(
    address: AdminAddress,
    method: str,
    path: str,
) -> tuple[int, bytes]:
    connection = HTTPConnection(
        address.host,
        address.port,
        timeout=_TIMEOUT_S,
    )
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, HTTPException) as error:
        raise AdminError('{0}: {1}'.format(address, error)) from error
    finally:
        connection.close()
