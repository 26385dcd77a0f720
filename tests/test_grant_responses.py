"""Responses to grants and releases that a backend server sends again, late."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from fuchsiatrack.callers.responsememory import ResponseMemory
from fuchsiatrack.directory.servers import ServerEntry, ServerIncarnation
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.kernel.metrics import NullMetrics
from fuchsiatrack.kernel.trafficcounter import TrafficCounter
from fuchsiatrack.platform.grantclient import HttpRangeGrantClient
from fuchsiatrack.ranges.grantclient import RangeGrant, WrongServer
from fuchsiatrack_standins.fleet.logservice import LogServiceStandIn
from fuchsiatrack_standins.fleet.server import ServerStandIn

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 200 OK\r\nX-Handover: token\r\nContent-Length: 0\r\n\r\n"
WRONG_SERVER = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
TIMEOUT_MS = 1_000
GRANT = RangeGrant(0, 9, 1, 4_000, "")


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


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    """Read a request, and return its head."""
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(head.partition(b"Content-Length: ")[2].split()[0]))
    return head


class ServerRun:
    """One run of the server `s1`, which sends a second copy of each rejection, late."""

    def __init__(self) -> None:
        self.accepted: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        has_rejected = False
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await _read_head(reader)
                if has_rejected:
                    writer.write(WRONG_SERVER)
                    await writer.drain()
                    await asyncio.sleep(0.02)
                if b"X-Expect-Instance: s1\r\n" in head:
                    self.accepted.append(head)
                    writer.write(OK)
                else:
                    has_rejected = True
                    writer.write(WRONG_SERVER)
        writer.close()


@contextlib.asynccontextmanager
async def _open_client() -> AsyncIterator[HttpRangeGrantClient]:
    clock = SystemClock()
    pool = ConnectionPool(clock, ResponseMemory())
    yield HttpRangeGrantClient(pool, TrafficCounter(NullMetrics(), "a"), clock)
    pool.close()


class TestSecondCopiesOfRejections:
    """A server rejects what is meant for the former one at its address, and does so twice."""

    @pytest.mark.parametrize("call", ["grant", "release"])
    async def test_grant_that_is_accepted_does_not_count_as_not_delivered(self, call: str):
        """Guards against keys that count as free while the server holds them."""
        run = ServerRun()
        server = await asyncio.start_server(run.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        later, former = (
            ServerEntry(ServerIncarnation(name, 1), "stock", f"{host}:{port}", "a", 4, False, False)
            for name in ("s1", "s0")
        )
        async with server, _open_client() as client:
            with pytest.raises(WrongServer):
                if call == "grant":
                    await client.grant(former, GRANT, TIMEOUT_MS)
                else:
                    await client.release(former, 0, 9, 2, TIMEOUT_MS)
            await client.grant(later, GRANT, TIMEOUT_MS)
        assert len(run.accepted) == 1


class TestServerWithoutKeys:
    """A server of a service without keys has the address of one that has ended."""

    @pytest.mark.parametrize("call", ["grant", "release"])
    async def test_it_says_that_it_is_another_server(self, call: str):
        """Guards against keys that wait for grants to a server which has ended."""
        other = ServerStandIn(LogServiceStandIn(), "s9", "desk")
        await other.start(listed=False)
        former = ServerEntry(
            ServerIncarnation("s0", 1), "stock", other.address, "a", 4, False, False
        )
        async with _open_client() as client:
            with pytest.raises(WrongServer) as error:
                if call == "grant":
                    await client.grant(former, GRANT, TIMEOUT_MS)
                else:
                    await client.release(former, 0, 9, 2, TIMEOUT_MS)
        assert error.value.names_other
        assert not other.runs
        await other.stop()


class TestConnectionOfTheFormerServer:
    """A server still answers on its connections while another one has its address."""

    async def test_its_rejection_does_not_tell_whose_the_address_is(self):
        """Guards against a server that gets no keys in its whole run."""
        rejection = WRONG_SERVER.replace(b"\r\n\r\n", b"\r\nX-Instance-Id: s0\r\n\r\n")

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                await _read_head(reader)
                writer.write(OK)
                await _read_head(reader)
                writer.write(rejection)
                await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        former, later = (
            ServerEntry(ServerIncarnation(name, 1), "stock", f"{host}:{port}", "a", 4, False, False)
            for name in ("s0", "s1")
        )
        async with _open_client() as client:
            await client.grant(former, GRANT, TIMEOUT_MS)
            with pytest.raises(WrongServer) as error:
                await client.grant(later, GRANT, TIMEOUT_MS)
            assert not error.value.names_other
        server.close()


class TestGrantOnItsWay:
    """A second copy of a response makes a grant count as arrived that is still on its way."""

    async def test_later_run_does_not_get_the_grant(self):
        """Guards against a grant that reaches the run after the one which released the keys."""
        has_sent, accepted = asyncio.Event(), []
        former_writers: list[asyncio.StreamWriter] = []

        async def serve_former(reader, writer):
            former_writers.append(writer)
            head = await _read_head(reader)
            if b"/-/release" in head:
                writer.write(RELEASED)
                return
            writer.write(OK)
            await has_sent.wait()
            # The second grant isn't read.
            writer.write(OK)

        async def serve_later(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                accepted.append(await _read_head(reader))
            writer.close()

        former = await asyncio.start_server(serve_former, "127.0.0.1", 0)
        host, port = former.sockets[0].getsockname()[:2]
        entry = ServerEntry(
            ServerIncarnation("s1", 1), "stock", f"{host}:{port}", "a", 4, False, False
        )
        async with _open_client() as client:
            await client.grant(entry, GRANT, TIMEOUT_MS)
            second = asyncio.create_task(client.grant(entry, GRANT, TIMEOUT_MS))
            await asyncio.sleep(0.05)
            assert not second.done()
            has_sent.set()
            await second
            assert await client.release(entry, 0, 9, 2, TIMEOUT_MS) == "token"
            former.close()
            for writer in former_writers:
                writer.transport.abort()
            later = await asyncio.start_server(serve_later, host, port)
            await asyncio.sleep(TIMEOUT_MS / 1_000)
            assert not accepted
        later.close()
