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
    """A process's admin port did not answer as it should."""


@final
@dataclass(frozen=True, slots=True)
class AdminAddress:
    """Where an admin port listens.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'AdminAddress':
        """Return the address that ``HOST:PORT`` stands for."""
        place = parse_address('admin', text, 'HOST:PORT')
        return cls(place.host, place.port)

    def __str__(self) -> str:
        return '{0}:{1}'.format(self.host, self.port)


@final
@dataclass(frozen=True, slots=True)
class ProcessState:
    """A process's state dump, or why there is none.

    Attributes:
        address: The process's admin port.
        state: The dump; empty when it could not be had.
        error: Why not; empty when it could.
    """

    address: AdminAddress
    state: dict[str, Any]
    error: str = ''


async def call(address: AdminAddress, method: str, path: str) -> Any:
    """Return what an admin port answers, decoded from JSON.

    Raises:
        AdminError: It did not answer, or not with success.
    """
    status, body = await anyio.to_thread.run_sync(
        _exchange,
        address,
        method,
        path,
        abandon_on_cancel=True,
    )
    if status != _OK:
        raise AdminError(
            '{0}{1}: {2} {3}'.format(address, path, status, body.decode()),
        )
    return msgspec.json.decode(body)


async def fetch_states(
    addresses: tuple[AdminAddress, ...],
) -> list[ProcessState]:
    """Return the state of each process, in the order of ``addresses``."""
    found: dict[AdminAddress, ProcessState] = {}
    async with anyio.create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(_fetch_state, address, found)
    return [found[asked] for asked in addresses]


async def _fetch_state(
    address: AdminAddress,
    found: dict[AdminAddress, ProcessState],
) -> None:
    try:
        state = await call(address, 'GET', '/state')
    except AdminError as error:
        found[address] = ProcessState(address, {}, str(error))
    else:
        found[address] = ProcessState(address, state)


def _exchange(
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
