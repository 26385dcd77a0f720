"""Connections to backend servers that wait to be used again."""

from __future__ import annotations

import asyncio

from fuchsiatrack.gateway.serverlink import IDLE_MAX, ConnectFailed, ServerLink, set_keepalive
from fuchsiatrack.kernel.clock import Clock

# Longest wait for a new connection, in milliseconds: many round trips inside a region, and short
# enough to try another server.
CONNECT_TIMEOUT = 400


class LinkPool:
    """Idle connections by server and address; the latest used is the first to be used again."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[tuple[str, str], list[ServerLink]] = {}
        self.opened = 0

    async def take(self, server: str, address: str, idle_max: int) -> ServerLink:
        """Return a connection that was idle for at most *idle_max* ms, or else a new one.

        Raises ConnectFailed.
        """
        found = self._take_idle((server, address), idle_max)
        if found is not None:
            found.begin_reuse()
            return found
        return await self._open(address)

    def give_back(self, server: str, address: str, link: ServerLink) -> None:
        """Keep *link* for another request if it can carry one."""
        if not link.is_usable:
            link.abort()
            return
        link.idle_since = self._clock.now()
        self._idle.setdefault((server, address), []).append(link)

    def make_room(self, server: str, address: str, most: int) -> None:
        """Close idle connections of the server, the oldest first, until *most* are left."""
        links = self._idle.get((server, address), [])
        while len(links) > max(most, 0):
            links.pop(0).abort()

    def sweep(self, listed: frozenset[tuple[str, str]]) -> None:
        """Close connections that were idle too long, or whose server is not in *listed*."""
        now = self._clock.now()
        for key, links in list(self._idle.items()):
            kept = [link for link in links if key in listed and _is_fresh(link, now, IDLE_MAX)]
            for link in links:
                if link not in kept:
                    link.abort()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def idle_count(self, server: str, address: str) -> int:
        """Return how many connections to the server wait to be used again."""
        return len(self._idle.get((server, address), ()))

    def close(self) -> None:
        """Close every idle connection."""
        for link in (link for links in self._idle.values() for link in links):
            link.abort()
        self._idle.clear()

    def _take_idle(self, key: tuple[str, str], idle_max: int) -> ServerLink | None:
        links, now = self._idle.get(key, []), self._clock.now()
        while links and idle_max > 0:
            link = links.pop()
            if _is_fresh(link, now, idle_max):
                return link
            if link.is_usable and _is_fresh(link, now, IDLE_MAX):
                # Too old for this request only; the ones below are older still.
                links.append(link)
                return None
            link.abort()
        return None

    async def _open(self, address: str) -> ServerLink:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT / 1_000):
                transport, link = await loop.create_connection(
                    lambda: ServerLink(loop), host, int(port)
                )
        except (TimeoutError, OSError, ValueError) as error:
            raise ConnectFailed(f"{address}: {error!r}") from error
        set_keepalive(transport.get_extra_info("socket"))
        return link


def _is_fresh(link: ServerLink, now: int, idle_max: int) -> bool:
    return link.is_usable and now - link.idle_since < min(idle_max, link.idle_limit)
