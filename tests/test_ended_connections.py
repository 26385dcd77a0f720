"""Callers' connections that end, and the memory of those that have ended."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import AsyncIterator, Iterator

import pytest
from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from fuchsiatrack.callers.connections import CallerConnections
from fuchsiatrack.callers.protocol import CallerProtocol

HOST = "127.0.0.1"
# A guard for tests that would hang, and for connections that are never freed.
TIMEOUT_S = 30.0
CALLERS = 5
# Answered before its body has arrived.
EARLY = "/early"
MALFORMED = b"x" * 65_536


def _head(method: str, target: str, *fields: str) -> bytes:
    return "\r\n".join((f"{method} {target} HTTP/1.1", "Host: a", *fields, "", "")).encode()


CHUNKED, SWITCH = "Transfer-Encoding: chunked", "Connection: upgrade\r\nUpgrade: websocket"
REQUESTS = {
    "partial-head": b"GET / HTTP/1.1\r\nHost: a\r\n",
    "answered": _head("GET", EARLY),
    "partial-body": _head("POST", "/", CHUNKED) + b"2\r\nxx\r\n" * 9_000,
    "rejected-body": _head("POST", EARLY, CHUNKED) + b"2\r\nxx\r\n" * 9_000,
    "rejected-body-with-length": _head("POST", EARLY, "Content-Length: 99999") + b"x" * 9_000,
    "malformed-head": MALFORMED,
    "malformed-chunk": _head("POST", "/", CHUNKED) + MALFORMED,
    "connect": _head("CONNECT", "a:80") + MALFORMED,
    "websocket": _head("GET", EARLY, SWITCH) + MALFORMED,
}


@pytest.fixture
async def connections(unused_tcp_port: int) -> AsyncIterator[CallerConnections]:
    """Yield a listener that reads bodies before it answers, except at `EARLY`."""

    async def handle(request: web.BaseRequest) -> web.Response:
        response = web.Response()
        try:
            while request.path != EARLY and await request.content.readany():
                pass
        except RequestPayloadError:
            response.set_status(400)
        opened.prepare_response(request, response)
        return response

    opened = CallerConnections(handle, lambda: 75.0, lambda headers: "")
    await opened.open(HOST, unused_tcp_port)
    yield opened
    await opened.close(0, lambda: None)


@contextlib.contextmanager
def _no_garbage_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _count_protocols() -> int:
    return sum(isinstance(item, CallerProtocol) for item in gc.get_objects())


class TestEndedConnections:
    """Connections that have ended take no memory until a garbage collection."""

    @pytest.mark.parametrize("request_bytes", REQUESTS.values(), ids=REQUESTS)
    async def test_connection_is_freed_when_it_ends(
        self, request_bytes: bytes, connections: CallerConnections, unused_tcp_port: int
    ):
        with _no_garbage_collection():
            before = _count_protocols()
            writers = []
            for _ in range(CALLERS):
                _, writer = await asyncio.open_connection(HOST, unused_tcp_port)
                writer.write(request_bytes)
                writers.append(writer)
            # Lets the listener read and answer, as far as it does.
            await asyncio.sleep(0.3)
            for writer in writers:
                writer.transport.abort()
            async with asyncio.timeout(TIMEOUT_S):
                while connections.count or _count_protocols() != before:
                    await asyncio.sleep(0.01)


class TestOtherProtocols:
    """Callers that go on in a protocol that isn't spoken."""

    @pytest.mark.parametrize("body", [b"", b"xx"], ids=["no-body", "body"])
    async def test_connection_ends_with_the_response(
        self, body: bytes, connections: CallerConnections, unused_tcp_port: int
    ):
        """Guards against bytes of another protocol that are kept, or parsed as requests."""
        reader, writer = await asyncio.open_connection(HOST, unused_tcp_port)
        writer.write(_head("POST", "/", f"Content-Length: {len(body)}", SWITCH) + body + MALFORMED)
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            assert await reader.read() == b""
        writer.transport.abort()
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"\r\nConnection: close\r\n" in head


class TestMalformedRequests:
    """What callers get for bytes that are no request."""

    async def test_response_repeats_nothing_of_the_request(
        self, connections: CallerConnections, unused_tcp_port: int
    ):
        reader, writer = await asyncio.open_connection(HOST, unused_tcp_port)
        writer.write(MALFORMED)
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.read()
        writer.transport.abort()
        assert head.startswith(b"HTTP/1.1 400 ")
        assert b"xxxx" not in body
