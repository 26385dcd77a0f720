"""Crowds of callers outside the pages' limits, at a daemon process with little memory.

Each test checks what doesn't depend on the machine's speed: that the process lives, that its memory
and descriptors stay within what its settings allow, and that an ordinary request is answered while
the crowd stays.  One runs at a time, apart from other load.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator, Callable

import pytest
from aiohttp import web

from tests.crowds import TIMEOUT_S, Crowd, Target
from tests.daemonprocess import request_head, run_daemon
from tests.fleet import HOST, route

# Limits of the daemon's machine.  The smallest machines of the deployments have 160 MB.
MEMORY_MB = 100
MAX_FDS = 500
SETTINGS = f"[Self.Limits]\nMemoryMb = {MEMORY_MB}\nMaxFds = {MAX_FDS}\n"
MEMORY_KB = MEMORY_MB * 1_000_000 // 1_024
CROWD = 200
# More connections than the daemon has descriptors.
CONNECTION_CROWD = 600
LARGE_HEAD_BYTES = 60_000
# Fields of one head.
FIELDS = 120
LARGE_BODY_BYTES = 3_900_000
# Chunks of two bytes.
SMALL_CHUNKS = 40_000
LONG_ANSWER_BYTES = 2**20
# Bodies of ordinary orders, and of the crowd beside them.
ORDER_BYTES = 20_000
SHORT_BODY_BYTES = 10_000
# Trailer fields after a chunked body, each as large as the largest head.
TRAILERS = 120
EMPTY_LINES_BYTES = 8 * 2**20
# Neither a head nor a chunk.
MALFORMED = b"x" * 2**16
ROUTES = [
    route("uploads", "/uploads/", "upload", "vault", Timeout="20000ms"),
    route("long", "/long/", "safe", "archive", Timeout="20000ms"),
    route("slow", "/slow/", "safe", "slow", Timeout="20000ms"),
    # Ordinary requests, which no machine is too slow for.
    route("reads", "/reads/", "safe", "catalogue", Timeout="20000ms"),
    route("orders", "/orders/", "unsafe", "catalogue", Timeout="20000ms"),
]
SERVERS = (
    ("vault-0", "vault", 60_000.0),
    ("archive-0", "archive", 0.0),
    ("slow-0", "slow", 5_000.0),
    ("catalogue-0", "catalogue", 5.0),
)


def _read(number: int) -> bytes:
    return request_head("/reads/", f"ordinary-{number}", deadline_ms=20_000)


def _order(number: int) -> bytes:
    body = b"x" * ORDER_BYTES
    return request_head("/orders/", f"ordinary-{number}", "POST", len(body), 20_000) + body


@contextlib.asynccontextmanager
async def run_crowd(
    folder: pathlib.Path, request: Callable[[int], bytes] = _read
) -> AsyncIterator[Crowd]:
    """Yield a crowd without connections at a daemon with servers of four services.

    *request* returns the ordinary request with the given number.
    """

    async def respond(request: web.BaseRequest, headers: dict[str, str]) -> web.Response:
        return web.Response(headers=headers, body=b"x" * LONG_ANSWER_BYTES)

    async with run_daemon(folder, ROUTES, SERVERS, SETTINGS) as environment:
        environment.servers["archive-0"].response_handler = respond
        target = Target(
            environment.daemon._process.pid,
            environment.daemon.callers_address,
            folder / "entry-1.log",
            lambda: environment.daemon.is_running,
            request,
            MEMORY_KB,
            MAX_FDS,
        )
        target.limit_descriptors()
        crowd = Crowd(target)
        try:
            yield crowd
        finally:
            crowd.close()


def _chunked_head(number: int, path: str = "/uploads/") -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: upload-{number}\r\n"
        "X-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def _partial_head(number: int, path: str = "/reads/") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-{number}\r\n".encode()


class TestHeads:
    """Heads that are too large, never end, or don't begin."""

    async def test_heads_over_the_limit(self, tmp_path: pathlib.Path):
        field = b"A: " + b"x" * LARGE_HEAD_BYTES + b"\r\n"
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [_partial_head(number), *[field] * 16])
            await crowd.check()

    async def test_heads_without_end(self, tmp_path: pathlib.Path):
        """Each stays below the limit of one head, and sends no more."""
        field = b"A: " + b"x" * LARGE_HEAD_BYTES
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(2 * CROWD, lambda number: [_partial_head(number), field])
            await crowd.check()

    async def test_heads_behind_a_request_that_waits(self, tmp_path: pathlib.Path):
        field = b"A: " + b"x" * LARGE_HEAD_BYTES + b"\r\n\r\n"
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(
                CROWD,
                lambda number: [
                    request_head("/slow/", f"slow-{number}", deadline_ms=20_000),
                    *[_partial_head(number) + field] * 32,
                ],
            )
            await crowd.check()

    async def test_small_fields_behind_a_request_that_waits(self, tmp_path: pathlib.Path):
        head = _partial_head(0) + b"".join(b"%d:\r\n" % item for item in range(FIELDS)) + b"\r\n"
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(
                CROWD,
                lambda number: [
                    request_head("/slow/", f"slow-{number}", deadline_ms=20_000),
                    head * 64,
                ],
            )
            await crowd.check()

    async def test_empty_lines_without_end(self, tmp_path: pathlib.Path):
        lines = b"\r\n" * 32_768
        async with run_crowd(tmp_path) as crowd:
            pieces = [lines] * (EMPTY_LINES_BYTES // len(lines))
            await crowd.send(CROWD // 10, lambda number: pieces)
            async with asyncio.timeout(TIMEOUT_S):
                for reader, _ in crowd.connections:
                    # The daemon closes the connection.
                    with contextlib.suppress(OSError):
                        await reader.read()
            await crowd.check()

    async def test_malformed_heads(self, tmp_path: pathlib.Path):
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(CROWD, lambda number: b"", MALFORMED):
                await crowd.check()

    @pytest.mark.parametrize("method", ["CONNECT", "GET"], ids=["connect", "websocket"])
    async def test_tunnels(self, method: str, tmp_path: pathlib.Path):
        """Callers send bytes of another protocol behind a request to switch to it."""
        target = f"{HOST}:80" if method == "CONNECT" else "/slow/"
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: tunnel\r\n"
            "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
        ).encode()
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(CROWD, lambda number: head, MALFORMED):
                await crowd.check()


class TestBodies:
    """Chunked bodies at once that stop just short of their end, and stay open."""

    async def test_large_chunks(self, tmp_path: pathlib.Path):
        chunk = b"%x\r\n%b\r\n" % (LARGE_BODY_BYTES, b"x" * LARGE_BODY_BYTES)
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [_chunked_head(number), chunk, b"0\r\n"])
            await crowd.check()

    async def test_very_small_chunks(self, tmp_path: pathlib.Path):
        chunks = b"2\r\nxx\r\n" * SMALL_CHUNKS
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [_chunked_head(number), chunks, b"0\r\n"])
            await crowd.check()

    @pytest.mark.parametrize("lifetime_s", [None, 0.05], ids=["stay", "leave"])
    async def test_large_chunks_without_end(self, lifetime_s: float | None, tmp_path: pathlib.Path):
        chunk = b"%x\r\n%b\r\n" % (2**18, b"x" * 2**18)
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(CROWD, _chunked_head, chunk, lifetime_s):
                await crowd.check()

    async def test_very_small_chunks_without_end(self, tmp_path: pathlib.Path):
        chunks = b"2\r\nxx\r\n" * SMALL_CHUNKS
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(CROWD, _chunked_head, chunks):
                await crowd.check()

    async def test_malformed_chunks(self, tmp_path: pathlib.Path):
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(CROWD, _chunked_head, MALFORMED):
                await crowd.check()

    @pytest.mark.parametrize("path", ["/uploads/", "/unknown/"], ids=["forwarded", "rejected"])
    async def test_trailers_without_end(self, path: str, tmp_path: pathlib.Path):
        trailer = b"T: " + b"x" * LARGE_HEAD_BYTES + b"\r\n"
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(
                CROWD,
                lambda number: [
                    _chunked_head(number, path),
                    b"2\r\nxx\r\n0\r\n",
                    *[trailer] * TRAILERS,
                ],
            )
            await crowd.check()

    async def test_orders_beside_bodies_that_go_on_for_long(self, tmp_path: pathlib.Path):
        def pieces(number: int) -> list[bytes]:
            if number % 2:
                return [_chunked_head(number), b"1\r\nx\r\n"]
            head = request_head(
                "/uploads/", f"short-{number}", "POST", SHORT_BODY_BYTES, deadline_ms=20_000
            )
            return [head, b"1\r\nx\r\n"]

        async with run_crowd(tmp_path, _order) as crowd:
            async with crowd.keep_sending(CROWD, pieces, b"1\r\nx\r\n"):
                await crowd.check()


class TestAnswers:
    """Long answers that many callers don't read on."""

    @pytest.mark.parametrize("requests", [1, 8], ids=["one", "pipelined"])
    async def test_long_answers_that_are_read_slowly(self, requests: int, tmp_path: pathlib.Path):
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(
                CROWD,
                lambda number: [
                    request_head("/long/", f"long-{number}-{item}", deadline_ms=20_000)
                    for item in range(requests)
                ],
            )
            await crowd.check()


class TestConnections:
    """More connections than the process has descriptors for."""

    async def test_connections_that_stay_open(self, tmp_path: pathlib.Path):
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CONNECTION_CROWD, lambda number: [])
            await crowd.check()

    async def test_connections_with_partial_heads(self, tmp_path: pathlib.Path):
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CONNECTION_CROWD, lambda number: [_partial_head(number)])
            await crowd.check()


class TestMixed:
    """Crowds of several kinds at once."""

    async def test_heads_bodies_and_answers(self, tmp_path: pathlib.Path):
        field = b"A: " + b"x" * LARGE_HEAD_BYTES
        chunk = b"%x\r\n%b\r\n" % (LARGE_BODY_BYTES, b"x" * LARGE_BODY_BYTES)

        def pieces(number: int) -> list[bytes]:
            kinds = (
                [_partial_head(number), field],
                [request_head("/slow/", f"slow-{number}", deadline_ms=20_000)]
                + [_partial_head(number) + field + b"\r\n\r\n"] * 32,
                [_chunked_head(number), chunk, b"0\r\n"],
                [
                    request_head("/long/", f"long-{number}-{item}", deadline_ms=20_000)
                    for item in range(8)
                ],
            )
            return kinds[number % len(kinds)]

        async with run_crowd(tmp_path) as crowd:
            await crowd.send(2 * CROWD, pieces)
            await crowd.check()
