"""Responses to grants and releases that a backend server sends again, late."""

from __future__ import annotations

import asyncio

from fuchsiatrack.directory.servers import ServerEntry, ServerIncarnation
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.responsememory import ResponseMemory
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.kernel.metrics import NullMetrics
from fuchsiatrack.kernel.trafficcounter import TrafficCounter
from fuchsiatrack.platform.grantclient import HttpRangeGrantClient
from fuchsiatrack.ranges.grantclient import RangeGrant

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 200 OK\r\nX-Handover: token\r\nContent-Length: 0\r\n\r\n"


class TestSecondCopies:
    """A second copy of a response arrives on a connection that is in use again."""

    async def test_grant_response_does_not_confirm_a_release(self):
        """The next owner would get keys on which the server is still at work."""
        has_work_ended = asyncio.Event()

        async def serve(reader, writer):
            has_granted = False
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    await reader.readexactly(int(head.partition(b"Content-Length: ")[2].split()[0]))
                    if b"/-/release" not in head:
                        writer.write(OK)
                        has_granted = True
                        continue
                    if has_granted:
                        writer.write(OK)
                        await writer.drain()
                    await has_work_ended.wait()
                    writer.write(RELEASED)
            except asyncio.IncompleteReadError:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        clock = SystemClock()
        pool = ConnectionPool(clock, ResponseMemory())
        client = HttpRangeGrantClient(pool, TrafficCounter(NullMetrics(), "a"), clock)
        entry = ServerEntry(
            ServerIncarnation("s1", 1), "stock", f"{host}:{port}", "a", 4, False, False
        )
        await client.grant(entry, RangeGrant(0, 9, 1, 4_000, ""), 1_000)
        release = asyncio.create_task(client.release(entry, 0, 9, 2, 5_000))
        await asyncio.sleep(0.2)
        assert not release.done()
        has_work_ended.set()
        assert await release == "token"
        pool.close()
        server.close()
