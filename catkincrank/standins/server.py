"""PostgreSQL server of a stand-in instance."""

from typing import Any, final

import anyio
from pg_mimic import (
    AuthPlugin,
    PgServer,
    ScramSha256AuthPlugin,
    SimpleIdentityProvider,
    TrustAuthPlugin,
)
from pg_mimic.messages import make_error_response
from pg_mimic.stream import ConnectionClosed

from catkincrank.standins.instance import StandinInstance
from catkincrank.standins.session import StandinSession

__all__ = ('StandinServer',)

_HOST = '127.0.0.1'


@final
class _LimitedAuth(AuthPlugin):
    def __init__(self, instance: StandinInstance, is_full: bool) -> None:
        self._instance = instance
        self._is_full = is_full

    async def authenticate(
        self,
        stream: Any,
        username: str,
        identity_provider: Any,
    ) -> bool:
        if self._is_full:
            refusal = {'S': 'FATAL', 'C': '53300', 'M': 'too many clients'}
            stream.write(make_error_response(refusal))
            await stream.drain()
            raise ConnectionClosed
        plugin: AuthPlugin = TrustAuthPlugin()
        if self._instance.options.password:
            plugin = ScramSha256AuthPlugin()
        return await plugin.authenticate(stream, username, identity_provider)


@final
class StandinServer:
    """Serves one instance on a port that stays the same after restarts.

    Args:
        instance: The instance.
        port: Port to listen on; 0 picks a free one at the first start.
    """

    def __init__(self, instance: StandinInstance, port: int = 0) -> None:
        self.instance = instance
        self.port = port
        self.sessions: set[StandinSession] = set()
        self._server: PgServer | None = None

    async def start(self) -> None:
        """Start the instance and listen."""
        options = self.instance.options
        users = {options.user: options.password} if options.password else {}
        self._server = PgServer(
            self._open_session,
            self._make_auth,
            SimpleIdentityProvider(users),
        )
        listening = await self._server.start_server(_HOST, self.port)
        self.port = listening.sockets[0].getsockname()[1]
        self.instance.start()

    def stop(self, *, keep_state: bool = True) -> None:
        """Stop the instance, reset its connections and stop listening."""
        self.instance.stop(keep_state=keep_state)
        self.reset_connections()
        if self._server is not None:
            self._server.close()
            self._server = None

    def reset_connections(self) -> None:
        """Reset every connection."""
        for session in list(self.sessions):
            session.abort()

    async def _open_session(self) -> StandinSession:
        await self.instance.wait_running()
        await anyio.sleep(self.instance.options.connect_s)
        return StandinSession(self.instance, self.sessions)

    def _make_auth(self, username: str) -> AuthPlugin:
        is_full = len(self.sessions) >= self.instance.options.connections
        return _LimitedAuth(self.instance, is_full)
