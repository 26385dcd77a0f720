"""Crowds of callers outside the limits, at a process of `fuchsiatrackd` with little memory.

As in `test_hostile_callers`, nothing that is checked depends on the machine's speed, and one test
runs at a time, apart from other load.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import gzip
import pathlib
import resource
from collections.abc import AsyncIterator, Callable, Iterator

import pytest

from fuchsiatrack.model.objects import BackendServer, Service
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack_standins.deployment import CALLER_PORT, Deployment, Network
from fuchsiatrack_standins.scenarios import sets
from tests.crowds import TIMEOUT_S, Crowd, Target

# Second octet of the loopback addresses of this module.
OCTET = 17
# Limits of the daemon's machine: those of the smallest machines of the deployments, and
# descriptors for about 560 callers.
MEMORY_MB = 160
MAX_FDS = 1_000
MEMORY_KB = MEMORY_MB * 1_000_000 // 1_024
SETTINGS = {
    "memory_mb": MEMORY_MB,
    "requests": {"max_daemons": 1},
    "timings": {"leave_notice": 300, "shutdown_grace": 1_000},
}
# Of a server that the crowd uses: enough for each of its requests.
SERVER_CAPACITY = 1_000
# Of the crowd's requests, and of the ordinary one: longer than anything takes.
DEADLINE_MS = 20_000
CROWD = 400
# More connections than the daemon has descriptors.
CONNECTION_CROWD = 1_200
# Below the limit of one field, and of one head.
LARGE_FIELD_BYTES = 15_000
FIELDS = 4
# Fields of one head.
SMALL_FIELDS = 120
# Of a body that stops short of its end.
LARGE_BODY_BYTES = 2**20
SMALL_BODY_BYTES = 2**16
# Chunks of two bytes.
SMALL_CHUNKS = 40_000
# Of the body of an ordinary request.
ORDER_BYTES = 20_000
LONG_ANSWER_BYTES = 2**20
SHORT_ANSWER_BYTES = 60_000
EMPTY_LINES_BYTES = 8 * 2**20
TRAILERS = 120
DECOMPRESSED_BYTES = 32 * 2**20
# Neither a head nor a chunk.
MALFORMED = b"x" * 2**16
FIELD = b"A: " + b"x" * LARGE_FIELD_BYTES + b"\r\n"


def _objects() -> ObjectSet:
    """Return objects with two services, of which the crowd uses "footage"."""
    return ObjectSet(tuple(map(_adapt, sets.load("small", Network(OCTET)).objects)))


def _adapt(item: object) -> object:
    if isinstance(item, BackendServer) and item.service == "footage":
        return dataclasses.replace(item, slots=SERVER_CAPACITY, connections=SERVER_CAPACITY)
    if isinstance(item, Service):
        return dataclasses.replace(item, max_deadline=DEADLINE_MS)
    return item


@contextlib.contextmanager
def _descriptor_limit(limit: int) -> Iterator[None]:
    """Let processes that are started meanwhile have *limit* descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@contextlib.asynccontextmanager
async def run_crowd(
    folder: pathlib.Path, request: Callable[[int], bytes] = lambda number: _head("GET", "/poles/x")
) -> AsyncIterator[Crowd]:
    """Yield a crowd without connections at a daemon with servers of two services.

    *request* returns the ordinary request with the given number.
    """
    deployment = Deployment(_objects(), 0, Network(OCTET), folder, SETTINGS)
    async with deployment, asyncio.timeout(3 * TIMEOUT_S):
        with _descriptor_limit(MAX_FDS):
            await deployment.add_daemon(1)
        await deployment.wait_ready(1)
        await deployment.publish()
        while not any(
            item["keyed"] and not item["unavailable"] for item in await _services(deployment)
        ):
            await asyncio.sleep(0.05)
        process = deployment.processes[deployment.daemon_name(1)]
        target = Target(
            process.pid,
            (deployment.network.daemon(1), CALLER_PORT),
            folder / "entry-1.log",
            lambda: process.poll() is None,
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


async def _services(deployment: Deployment) -> list[dict]:
    return (await deployment.status(1))["services"]


def _partial_head(method: str, path: str, *fields: str) -> bytes:
    lines = (
        f"{method} {path} HTTP/1.1",
        "Host: entry",
        "Authorization: Bearer token-of-crew",
        "Fuchsiatrack-Key: pole-1",
        f"Fuchsiatrack-Deadline-Ms: {DEADLINE_MS}",
        *fields,
    )
    return "".join(f"{line}\r\n" for line in lines).encode()


def _head(method: str, path: str, *fields: str) -> bytes:
    return _partial_head(method, path, *fields) + b"\r\n"


def _chunked_head(path: str = "/footage/x") -> bytes:
    return _head("PUT", path, "Transfer-Encoding: chunked")


class TestHeads:
    """Heads that are too large, never end, or don't begin."""

    async def test_heads_over_the_limit(self, tmp_path: pathlib.Path):
        head = _partial_head("GET", "/footage/x")
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [head, *[FIELD] * 64])
            await crowd.check()

    async def test_heads_over_the_limit_on_all_connections(self, tmp_path: pathlib.Path):
        head = _partial_head("GET", "/footage/x")
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CONNECTION_CROWD, lambda number: [head, *[FIELD] * 64])
            await crowd.check()

    async def test_heads_without_end(self, tmp_path: pathlib.Path):
        """Each stays below the limit of one head, and sends no more."""
        head = _partial_head("GET", "/footage/x")
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [head, *[FIELD] * FIELDS])
            await crowd.check()

    async def test_heads_behind_a_request_that_waits(self, tmp_path: pathlib.Path):
        first = _head("GET", "/footage/x?work_ms=10000")
        behind = _partial_head("GET", "/footage/x") + FIELD * FIELDS + b"\r\n"
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [first, *[behind] * 32])
            await crowd.check()

    async def test_small_fields_behind_a_request_that_waits(self, tmp_path: pathlib.Path):
        first = _head("GET", "/footage/x?work_ms=10000")
        fields = (f"{item}:" for item in range(SMALL_FIELDS))
        behind = _head("GET", "/footage/x", *fields)
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [first, behind * 64])
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
        target = "entry:80" if method == "CONNECT" else "/footage/x?work_ms=10000"
        head = _head(method, target, "Connection: Upgrade", "Upgrade: websocket")
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(CROWD, lambda number: head, MALFORMED):
                await crowd.check()


class TestBodies:
    """Bodies at once that stop just short of their end, and stay open."""

    async def test_large_chunks(self, tmp_path: pathlib.Path):
        chunk = b"%x\r\n%b\r\n" % (LARGE_BODY_BYTES, b"x" * LARGE_BODY_BYTES)
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [_chunked_head(), chunk, b"0\r\n"])
            await crowd.check()

    async def test_very_small_chunks(self, tmp_path: pathlib.Path):
        chunks = b"2\r\nxx\r\n" * SMALL_CHUNKS
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [_chunked_head(), chunks, b"0\r\n"])
            await crowd.check()

    @pytest.mark.parametrize("lifetime_s", [None, 0.05], ids=["stay", "leave"])
    async def test_large_chunks_without_end(self, lifetime_s: float | None, tmp_path: pathlib.Path):
        chunk = b"%x\r\n%b\r\n" % (2**18, b"x" * 2**18)
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(
                CROWD, lambda number: _chunked_head(), chunk, lifetime_s
            ):
                await crowd.check()

    async def test_very_small_chunks_without_end(self, tmp_path: pathlib.Path):
        chunks = b"2\r\nxx\r\n" * SMALL_CHUNKS
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(CROWD, lambda number: _chunked_head(), chunks):
                await crowd.check()

    async def test_malformed_chunks(self, tmp_path: pathlib.Path):
        async with run_crowd(tmp_path) as crowd:
            async with crowd.keep_streaming(CROWD, lambda number: _chunked_head(), MALFORMED):
                await crowd.check()

    async def test_bodies_with_a_length(self, tmp_path: pathlib.Path):
        head = _head("PUT", "/footage/x", f"Content-Length: {SMALL_BODY_BYTES}")
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [head, b"x" * (SMALL_BODY_BYTES - 1)])
            await crowd.check()

    async def test_bodies_on_all_connections(self, tmp_path: pathlib.Path):
        """Each of them has a connection to a server too."""
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CONNECTION_CROWD, lambda number: [_chunked_head(), b"1\r\nx\r\n"])
            await crowd.check()

    async def test_orders_beside_bodies_that_go_on_for_long(self, tmp_path: pathlib.Path):
        body = b"x" * ORDER_BYTES
        head = _head("PUT", "/poles/x", f"Content-Length: {len(body)}")
        async with run_crowd(tmp_path, lambda number: head + body) as crowd:
            pieces = [_chunked_head(), b"1\r\nx\r\n"]
            async with crowd.keep_sending(CROWD, lambda number: pieces, b"1\r\nx\r\n"):
                await crowd.check()

    @pytest.mark.parametrize("path", ["/footage/x", "/unknown/x"], ids=["forwarded", "rejected"])
    async def test_trailers_without_end(self, path: str, tmp_path: pathlib.Path):
        trailer = b"T: " + b"x" * LARGE_FIELD_BYTES + b"\r\n"
        pieces = [_chunked_head(path), b"2\r\nxx\r\n0\r\n", *[trailer] * TRAILERS]
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: pieces)
            await crowd.check()

    async def test_compressed_bodies(self, tmp_path: pathlib.Path):
        body = gzip.compress(bytes(DECOMPRESSED_BYTES))
        length = f"Content-Length: {len(body)}"
        head = _head("PUT", "/footage/x", length, "Content-Encoding: gzip")
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD // 10, lambda number: [head, body[:-1]])
            await crowd.check()


class TestAnswers:
    """Answers that many callers don't read on."""

    @pytest.mark.parametrize("requests", [1, 8], ids=["one", "pipelined"])
    async def test_long_answers_that_are_read_slowly(self, requests: int, tmp_path: pathlib.Path):
        path = f"/footage/x?work_ms=0&answer_bytes={LONG_ANSWER_BYTES}"
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: [_head("GET", path)] * requests)
            await crowd.check()

    async def test_short_answers_on_all_connections(self, tmp_path: pathlib.Path):
        """Each caller has asked for more than the kernel holds, and there is one for each place."""
        path = f"/footage/x?work_ms=0&answer_bytes={SHORT_ANSWER_BYTES}"
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CONNECTION_CROWD, lambda number: [_head("GET", path)] * 128)
            await crowd.check()


class TestConnections:
    """More connections than the process has descriptors for."""

    async def test_connections_that_stay_open(self, tmp_path: pathlib.Path):
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CONNECTION_CROWD, lambda number: [])
            await crowd.check()

    async def test_connections_with_partial_heads(self, tmp_path: pathlib.Path):
        head = _partial_head("GET", "/footage/x")
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CONNECTION_CROWD, lambda number: [head])
            await crowd.check()


class TestMixed:
    """Crowds of several kinds at once."""

    async def test_heads_bodies_and_answers(self, tmp_path: pathlib.Path):
        chunk = b"%x\r\n%b\r\n" % (LARGE_BODY_BYTES, b"x" * LARGE_BODY_BYTES)
        behind = _partial_head("GET", "/footage/x") + FIELD * FIELDS + b"\r\n"
        long = _head("GET", f"/footage/x?work_ms=0&answer_bytes={LONG_ANSWER_BYTES}")
        kinds = (
            [_partial_head("GET", "/footage/x"), *[FIELD] * FIELDS],
            [_head("GET", "/footage/x?work_ms=10000"), *[behind] * 32],
            [_chunked_head(), chunk, b"0\r\n"],
            [long] * 8,
        )
        async with run_crowd(tmp_path) as crowd:
            await crowd.send(CROWD, lambda number: kinds[number % len(kinds)])
            await crowd.check()
