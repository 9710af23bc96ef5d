"""Driver of a stand-in endpoint that limits its connections, for tests."""

import anyio

from catkincrank.standins.memorylink import MemoryDriver


class LimitedDriver(MemoryDriver):
    """Refuses connections beyond the limit of each endpoint.

    Attributes:
        limit: Connections that an endpoint accepts.
        held: Open links.
        dead_until: Time until which each endpoint still counts the
            connections of processes that are gone.
        dead: Number of these connections.
    """

    def __init__(self, groups, limit):
        super().__init__(groups, [])
        self.limit = limit
        self.held = set()
        self.dead_until = 0
        self.dead = 0

    async def connect(self, entry, application):
        self.is_refusing = self.count(entry.endpoint_id) >= self.limit
        link = await super().connect(entry, application)
        self.held.add(link)
        close = link.close

        async def close_link():
            self.held.discard(link)
            await close()

        link.close = close_link
        return link

    def count(self, endpoint_id):
        """Return how many connections an endpoint counts."""
        own = sum(
            link.instance.endpoint_id == endpoint_id for link in self.held
        )
        is_dead = anyio.current_time() >= self.dead_until
        return own + (0 if is_dead else self.dead)
