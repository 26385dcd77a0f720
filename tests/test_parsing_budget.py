"""Bound on the time that the parsing of chunked bodies takes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from fuchsiatrack.callers.connections import CallerConnections
from fuchsiatrack.callers.parsingbudget import BURST_S, ParsingBudget

HOST = "127.0.0.1"
# A guard for tests that would hang; nothing is measured against it.
TIMEOUT_S = 30.0
# Chunks of two bytes, which take longer to parse than what the budget allows at once.
CHUNKS = 40_000


class TestParsingBudget:
    """Bodies wait while others have used up the time."""

    @pytest.fixture
    async def budget(self) -> ParsingBudget:
        """Return a budget whose time has been used up."""
        budget = ParsingBudget()
        assert budget.has_time
        with budget.spend():
            time.sleep(4 * BURST_S)
        assert not budget.has_time
        return budget

    async def test_bodies_are_parsed_in_the_order_in_which_they_came(self, budget: ParsingBudget):
        parsed, is_done = [], asyncio.Event()
        budget.wait(lambda: parsed.append("first"))
        budget.wait(lambda: parsed.append("second"))
        budget.wait(is_done.set)
        assert not parsed
        async with asyncio.timeout(TIMEOUT_S):
            await is_done.wait()
        assert parsed == ["first", "second"]

    async def test_body_waits_behind_those_that_wait(self, budget: ParsingBudget):
        is_done = asyncio.Event()
        budget.wait(is_done.set)
        time.sleep(20 * BURST_S)
        assert not budget.has_time
        async with asyncio.timeout(TIMEOUT_S):
            await is_done.wait()
        assert budget.has_time

    async def test_failed_parsing_holds_up_nothing(self, budget: ParsingBudget):
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        is_done = asyncio.Event()
        budget.wait(lambda: 1 / 0)
        budget.wait(is_done.set)
        async with asyncio.timeout(TIMEOUT_S):
            await is_done.wait()


class TestChunkedBodies:
    """Chunked bodies are whole, whether or not they waited."""

    @pytest.fixture
    async def address(self, unused_tcp_port: int) -> AsyncIterator[tuple[str, int]]:
        """Yield the address of a listener whose responses repeat the body."""

        async def handle(request: web.BaseRequest) -> web.Response:
            body = bytearray()
            while part := await request.content.readany():
                body += part
            response = web.Response(body=bytes(body))
            opened.prepare_response(request, response)
            return response

        opened = CallerConnections(handle, lambda: 75.0, lambda headers: "")
        await opened.open(HOST, unused_tcp_port)
        yield HOST, unused_tcp_port
        await opened.close(0, lambda: None)

    async def test_bodies_in_small_chunks_are_whole(self, address: tuple[str, int]):
        """Guards against parts that are lost, or come twice, where a body has waited."""

        async def send(number: int) -> None:
            parts = [f"{(number + item) % 90 + 10}".encode() for item in range(CHUNKS)]
            reader, writer = await asyncio.open_connection(*address, limit=2**20)
            head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n"
            body = b"".join(b"2\r\n%b\r\n" % part for part in parts) + b"0\r\n\r\n"
            # A second request behind the first one on the same connection.
            writer.write((head + body) * 2)
            for _ in range(2):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
                assert await reader.readexactly(2 * CHUNKS) == b"".join(parts)
            writer.close()

        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*map(send, range(4)))
