"""Bounds on what the connections of all callers take together."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web

from fuchsiatrack.callers.connectionbudget import (
    BudgetedConnection,
    BudgetLimits,
    ConnectionBudget,
    budget_limits,
)
from fuchsiatrack.callers.connections import CallerConnections
from fuchsiatrack.kernel.metrics import NullMetrics
from tests.fleet import free_port

HOST = "127.0.0.1"
TIMEOUT_S = 20.0
# More than the kernel takes for a caller that reads nothing.
ANSWER_BYTES = 2**25


class FakeConnection(BudgetedConnection):
    """Records why it gave way."""

    def __init__(self, waits_since: float | None = None) -> None:
        self._waits_since = waits_since
        self.held = 0
        self.closed_for = ""

    @property
    def waits_since(self) -> float | None:
        return self._waits_since

    @property
    def held_bytes(self) -> int:
        return self.held

    def give_way(self, reason: str) -> None:
        self.closed_for = reason


def _budget(connections: int = 0, head_bytes: int = 100) -> ConnectionBudget:
    return ConnectionBudget(BudgetLimits(connections, head_bytes), NullMetrics())


class TestConnections:
    """Crowds of connections."""

    def test_longest_idle_or_incomplete_one_gives_way(self):
        budget = _budget(connections=3)
        served, old, young, new = (FakeConnection(item) for item in (None, 1.0, 2.0, 3.0))
        for connection in (served, young, old, new):
            budget.add(connection)
        closed = [bool(item.closed_for) for item in (served, old, young, new)]
        assert closed == [False, True, False, False]
        assert budget.count == 3

    def test_new_one_gives_way_if_all_others_are_served(self):
        budget = _budget(connections=1)
        served, new = FakeConnection(), FakeConnection(1.0)
        budget.add(served)
        budget.add(new)
        assert new.closed_for and not served.closed_for


class TestUploads:
    """Uploads that go on arriving outlast connections that have been idle for less."""

    async def test_idle_connection_gives_way_before_a_steady_upload(self):
        async def handle(request: web.BaseRequest) -> web.Response:
            return web.Response(body=await request.read())

        port = free_port()
        connections = CallerConnections(
            handle, lambda: 75.0, lambda headers: "", _budget(connections=2)
        )
        await connections.open(HOST, port)
        writers = []

        async def connect() -> asyncio.StreamReader:
            reader, writer = await asyncio.open_connection(HOST, port)
            writers.append(writer)
            await asyncio.sleep(0.1)
            return reader

        async with asyncio.timeout(TIMEOUT_S):
            upload = await connect()
            writers[0].write(b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na")
            await asyncio.sleep(0.1)
            idle = await connect()
            writers[0].write(b"b")
            await asyncio.sleep(0.1)
            await connect()
            assert await idle.read() == b""
            writers[0].write(b"c")
            assert (await upload.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            assert await upload.readexactly(3) == b"abc"
        for writer in writers:
            writer.close()
        await connections.close(1_000, lambda: None)


class TestAnswers:
    """Answers that callers don't read hold no place for ever."""

    async def test_caller_that_reads_nothing_gives_way(self):
        async def handle(request: web.BaseRequest) -> web.Response:
            return web.Response(body=bytes(ANSWER_BYTES))

        port = free_port()
        connections = CallerConnections(
            handle, lambda: 75.0, lambda headers: "", _budget(connections=1)
        )
        await connections.open(HOST, port)
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        async with asyncio.timeout(TIMEOUT_S):
            _, slow = await asyncio.open_connection(HOST, port, limit=1)
            slow.write(request)
            head = b""
            while not head:
                # Refused until the other one has read nothing for long.
                reader, writer = await asyncio.open_connection(HOST, port)
                with contextlib.suppress(ConnectionError):
                    writer.write(request)
                    head = await reader.read(len(b"HTTP/1.1 200"))
                writer.transport.abort()
                await asyncio.sleep(0.1)
            assert head == b"HTTP/1.1 200"
        slow.transport.abort()
        await connections.close(1_000, lambda: None)


class TestHeads:
    """Crowds of large heads."""

    def test_largest_gives_way(self):
        budget = _budget()
        small, large = FakeConnection(), FakeConnection()
        for connection, size in ((small, 40), (large, 61)):
            budget.add(connection)
            connection.held = size
            budget.hold(connection, size)
        assert large.closed_for and not small.closed_for
        assert budget.head_bytes == 40

    def test_heads_that_were_served_are_not_counted(self):
        budget = _budget()
        served, new = FakeConnection(), FakeConnection()
        for connection, size in ((served, 60), (new, 60)):
            budget.add(connection)
            connection.held = size
            served.held = 0 if connection is new else size
            budget.hold(connection, size)
        assert not (served.closed_for or new.closed_for)
        budget.remove(new)
        assert budget.head_bytes == 0


class TestLimits:
    """Limits follow from what the platform allows."""

    def test_smaller_bound_holds(self):
        assert budget_limits(160_000_000, 1_638) == BudgetLimits(488, 16_000_000)
        assert budget_limits(552_000_000, 1_000).connections == 560
        assert budget_limits(0, 0).connections == 0
