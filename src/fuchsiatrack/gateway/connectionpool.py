"""Pool of idle connections to backend servers."""

from __future__ import annotations

import asyncio
import socket

from fuchsiatrack.callers.responsememory import ResponseMemory
from fuchsiatrack.gateway.serverconnection import (
    MAX_IDLE_MS,
    ConnectFailed,
    ServerConnection,
    set_keepalive,
)
from fuchsiatrack.kernel.clock import Clock

# Many round trips within a region, yet short enough to try another server.
CONNECT_TIMEOUT_MS = 400
# A server resets a connection above its maximum right after accepting it, so that the reset arrives
# about one round trip after the connection was opened.  The wait for it is this multiple of the
# time that opening took, and bounded.
SETTLE_FACTOR = 1.5
SETTLE_MIN_MS = 2
SETTLE_MAX_MS = 20
# Of each connection; the kernel doubles it.
RECEIVE_BUFFER_BYTES = 131_072


class ConnectionPool:
    """Idle connections by server and address; the most recently used one is reused first.

    *memory* bounds the responses that are received on the pool's connections.
    """

    def __init__(self, clock: Clock, memory: ResponseMemory) -> None:
        self._clock = clock
        self._memory = memory
        self._idle: dict[tuple[str, str], list[ServerConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self, server: str, address: str, max_idle: int, settle: bool = False
    ) -> ServerConnection:
        """Return a connection idle for less than *max_idle* milliseconds, or a new one.

        0 always opens a new one.  With *settle* a new one is returned only after the time in which
        a server that accepts no further connections resets it.  Raises ConnectFailed if no
        connection could be opened.
        """
        connection = self._pop_idle((server, address), max_idle)
        if connection is not None:
            connection.prepare_reuse()
            return connection
        return await self._open(address, settle)

    def release(self, server: str, address: str, connection: ServerConnection) -> None:
        """Keep *connection* for reuse, or close it if it can't be reused."""
        if not connection.is_usable:
            connection.abort()
            return
        connection.idle_since = self._clock.now()
        self._idle.setdefault((server, address), []).append(connection)

    def trim_idle(self, server: str, address: str, max_count: int) -> None:
        """Close the server's oldest idle connections until at most *max_count* remain."""
        connections = self._idle.get((server, address), [])
        while len(connections) > max(max_count, 0):
            connections.pop(0).abort()

    def sweep(self, listed: frozenset[tuple[str, str]]) -> None:
        """Close connections idle for too long and those whose server is not in *listed*."""
        now = self._clock.now()
        for key, connections in list(self._idle.items()):
            kept = [
                connection
                for connection in connections
                if key in listed and _is_fresh(connection, now, MAX_IDLE_MS)
            ]
            for connection in connections:
                if connection not in kept:
                    connection.abort()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def idle_count(self, server: str, address: str) -> int:
        """Return the number of idle connections to the server."""
        return len(self._idle.get((server, address), ()))

    def close(self) -> None:
        """Close every idle connection."""
        for connection in (
            connection for connections in self._idle.values() for connection in connections
        ):
            connection.abort()
        self._idle.clear()

    def _pop_idle(self, key: tuple[str, str], max_idle: int) -> ServerConnection | None:
        connections, now = self._idle.get(key, []), self._clock.now()
        while connections and max_idle > 0:
            connection = connections.pop()
            if _is_fresh(connection, now, max_idle):
                return connection
            if connection.is_usable and _is_fresh(connection, now, MAX_IDLE_MS):
                # Too old only for this request; the remaining ones are older.
                connections.append(connection)
                return None
            connection.abort()
        return None

    async def _open(self, address: str, settle: bool) -> ServerConnection:
        loop = asyncio.get_running_loop()
        started_at = self._clock.now()
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1_000):
                connected = await _connect(loop, host, int(port))
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(loop, self._memory), sock=connected
                )
        except (TimeoutError, OSError, ValueError, OverflowError) as error:
            raise ConnectFailed(f"{address}: {error!r}") from error
        if settle:
            settle_time = int(SETTLE_FACTOR * (self._clock.now() - started_at))
            await self._settle(connection, settle_time)
            if not connection.is_usable:
                raise ConnectFailed(
                    f"{address}: connection reset after it was opened", was_opened=True
                )
        return connection

    async def _settle(self, connection: ServerConnection, duration: int) -> None:
        try:
            await self._clock.sleep(min(SETTLE_MAX_MS, max(SETTLE_MIN_MS, duration)))
        except asyncio.CancelledError:
            connection.abort()
            raise


async def _connect(loop: asyncio.AbstractEventLoop, host: str, port: int) -> socket.socket:
    """Return a connected socket whose receive buffer is bounded.

    The kernel would let the buffer of a connection grow to several MiB while its data waits.
    """
    created = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        created.setblocking(False)
        created.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        set_keepalive(created)
        await loop.sock_connect(created, (host, port))
    except BaseException:
        created.close()
        raise
    return created


def _is_fresh(connection: ServerConnection, now: int, max_idle: int) -> bool:
    return connection.is_usable and now - connection.idle_since < min(
        max_idle, connection.idle_timeout
    )
