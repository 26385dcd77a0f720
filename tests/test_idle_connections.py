"""Requests that are read while the daemon checks for idle connections (LOST)."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from fuchsiatrack.callers.connections import CallerConnections
from tests.daemonprocess import read_status, request_head

HOST = "127.0.0.1"
RESPONSE_S = 0.1
# Into the pause before a stop closes idle connections, and beyond its end.
BEFORE_CHECK_S = 0.35
BUSY_S = 0.1


@pytest.fixture
async def connections(unused_tcp_port: int) -> AsyncIterator[CallerConnections]:
    """Yield a listener whose responses take `RESPONSE_S`."""

    async def handle(request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(RESPONSE_S)
        response = web.Response(text="done")
        opened.prepare_response(request, response)
        return response

    opened = CallerConnections(handle, lambda: 75.0, lambda headers: headers["X-Request-Id"])
    await opened.open(HOST, unused_tcp_port)
    yield opened
    await opened.close(0, lambda: None)


@contextlib.asynccontextmanager
async def _connect(port: int) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        yield reader, writer
    finally:
        writer.close()


async def test_connection_is_busy_before_its_handler_begins(
    connections: CallerConnections, unused_tcp_port: int
):
    """Guards against an idle check between the reading of a request and the start of its task."""
    async with _connect(unused_tcp_port):
        await asyncio.sleep(0.05)
        (connection,) = connections._server.connections
        connection.data_received(request_head("/", "read"))
        is_idle = []
        for _ in range(4):
            await asyncio.sleep(0)
            is_idle.append(connection.is_idle)
    assert is_idle == [False] * 4


async def test_request_that_is_read_beside_an_idle_check_is_answered(
    connections: CallerConnections, unused_tcp_port: int
):
    """Guards against a stop that closes a connection whose request has just been read."""
    async with _connect(unused_tcp_port) as (reader, writer):
        await asyncio.sleep(0.05)
        stop = asyncio.create_task(connections.close(1_500, lambda: None))
        await asyncio.sleep(BEFORE_CHECK_S)
        writer.write(request_head("/", "read"))
        # The event loop then reads the request in the iteration in which the check is due.
        time.sleep(BUSY_S)
        assert await read_status(reader) == 200
    await stop


async def test_head_that_begins_behind_a_request_is_answered_across_a_stop(
    connections: CallerConnections, unused_tcp_port: int
):
    """Guards against a close of connections whose next head has arrived with the last request."""
    async with _connect(unused_tcp_port) as (reader, writer):
        head = request_head("/", "second")
        writer.write(request_head("/", "first") + head[:40])
        connections.start_draining()
        assert await read_status(reader) == 200
        with contextlib.suppress(OSError):
            writer.write(head[40:])
        assert await read_status(reader) == 200
