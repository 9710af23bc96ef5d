"""Resolves callers' keys to the organisations that hold them."""

from typing import final

from catkincrank.gateway.catalog import Route
from catkincrank.gateway.groups import Groups
from catkincrank.gateway.organisations.keys import digest_key
from catkincrank.gateway.session import Session

__all__ = ('Directory',)


@final
class Directory:
    """Organisations and keys of the configuration in force.

    Args:
        groups: Holds the configuration.
    """

    __slots__ = ('_groups',)

    def __init__(self, groups: Groups) -> None:
        self._groups = groups

    @property
    def requires_keys(self) -> bool:
        """Whether the configuration has organisations."""
        catalog = self._groups.catalog
        return catalog is not None and catalog.organisations is not None

    def resolve(self, route: Route | None, credential: bytes) -> str | None:
        """Return the name of the organisation that holds a key.

        Args:
            route: Route of the session; ``None`` if it was removed.
            credential: Digest of the caller's key.

        Returns:
            The name; empty where the caller needs no key, and ``None`` if it
            is to be refused.
        """
        if not self.requires_keys:
            return ''
        found = self._groups.catalog.keys.get(credential)
        if found is None and route is not None and route.is_public:
            return ''
        return found

    def holds(self, text: str) -> bool:
        """Return whether a text is one of the keys."""
        catalog = self._groups.catalog
        if catalog is None:
            return False
        return digest_key(text.encode('utf-8', 'replace')) in catalog.keys

    def is_valid(self, session: Session, route: Route | None) -> bool:
        """Return whether a session's key still belongs to its organisation.

        Without an open transaction, a session joins the organisation that holds
        its key now: the key was not withdrawn, and the next statement gets a
        link of that organisation.
        """
        if not self.requires_keys:
            if session.transaction is None:
                session.organisation = ''
            return True
        found = self.resolve(route, session.credential)
        if found and session.transaction is None:
            session.organisation = found
        return found == session.organisation
