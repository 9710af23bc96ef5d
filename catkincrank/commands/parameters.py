"""Flags shared by several commands."""

from typing import Annotated

import typer

from catkincrank.adminclient import AdminAddress
from catkincrank.errors import OptionError
from catkincrank.feedclient import KeeperAddress

__all__ = (
    'AdminList',
    'AuthorFlag',
    'CredentialFlag',
    'StoreFlag',
    'KeeperList',
    'TeamArgument',
    'parse_addresses',
    'parse_keepers',
)

StoreFlag = Annotated[
    str,
    typer.Option(
        '--store',
        envvar='CATKINCRANK_STORE',
        help='URL of the store.',
    ),
]
CredentialFlag = Annotated[
    str,
    typer.Option(
        '--credential',
        envvar='CATKINCRANK_CREDENTIAL',
        help='TEAM:SECRET; prefer the environment variable.',
    ),
]
AuthorFlag = Annotated[
    str,
    typer.Option(
        '--author',
        envvar='CATKINCRANK_AUTHOR',
        help='Author of the change, for the history.',
    ),
]
AdminList = Annotated[
    str,
    typer.Option(
        '--admin',
        envvar='CATKINCRANK_ADMIN',
        help='Admin ports, HOST:PORT separated by commas.',
    ),
]
KeeperList = Annotated[
    str,
    typer.Option(
        '--keepers',
        envvar='CATKINCRANK_KEEPERS',
        help='Keepers to notify, NAME/HOST:PORT separated by commas.',
    ),
]
TeamArgument = Annotated[str, typer.Argument(help='Name of the team.')]


def parse_addresses(text: str) -> tuple[AdminAddress, ...]:
    """Parse admin addresses separated by commas."""
    parts = [part for part in text.split(',') if part.strip()]
    if not parts:
        raise OptionError('--admin', text, 'one or more of HOST:PORT')
    return tuple(AdminAddress.parse(part) for part in parts)


def parse_keepers(text: str) -> tuple[KeeperAddress, ...]:
    """Parse keeper addresses separated by commas."""
    parts = [part for part in text.split(',') if part.strip()]
    return tuple(_parse_keeper(part.strip()) for part in parts)


def _parse_keeper(text: str) -> KeeperAddress:
    name, slash, place = text.partition('/')
    if not slash:
        raise OptionError('--keepers', text, 'NAME/HOST:PORT')
    address = AdminAddress.parse(place)
    return KeeperAddress(name, address.host, address.port)
