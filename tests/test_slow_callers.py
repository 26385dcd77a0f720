"""Responses to callers that read them slowly, in virtual time."""

from __future__ import annotations

import asyncio
import types

import pytest
from fakes import run_virtual

from fuchsiatrack.callers.responsewriter import PIECE_BYTES, PROGRESS_TIMEOUT_S, ResponseWriter
from fuchsiatrack.kernel.metrics import NullMetrics

UNREAD_BYTES = 4 * 2**20
# For a caller that takes minutes.
READ_BYTES_PER_S = 20_000


class FakeTransport:
    """Transport whose caller reads *bytes_per_s* of what is unread for *seconds*."""

    def __init__(self, bytes_per_s: int, seconds: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._seconds = seconds
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self.aborted = asyncio.Event()

    def get_write_buffer_size(self) -> int:
        elapsed = min(self._loop.time() - self._started_at, self._seconds)
        return UNREAD_BYTES - int(self._bytes_per_s * elapsed)

    def get_extra_info(self, name: str) -> None:
        return None

    def abort(self) -> None:
        self.aborted.set()


class FakeResponse:
    """Large response of which nothing more can be written."""

    status = 200

    def __init__(self) -> None:
        self.body = bytes(2 * PIECE_BYTES)

    async def prepare(self, request: object) -> FakeResponse:
        return self

    async def write(self, data: bytes, **options: object) -> None:
        await asyncio.get_running_loop().create_future()


async def _ended_after(bytes_per_s: int, seconds: float, limit: float) -> float | None:
    """Return when the response was given up, in seconds, None if not within *limit* of them."""
    transport = FakeTransport(bytes_per_s, seconds)
    connection = types.SimpleNamespace(transport=transport)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    writer = ResponseWriter(connection, NullMetrics())
    task = asyncio.create_task(writer.write(types.SimpleNamespace(method="GET"), FakeResponse()))
    try:
        async with asyncio.timeout(limit):
            await transport.aborted.wait()
        return loop.time() - started_at
    except TimeoutError:
        return None
    finally:
        task.cancel()


class TestProgress:
    """The kernel takes no more of a response until its caller has read much of what it holds."""

    def test_caller_that_reads_steadily_keeps_its_response(self):
        assert run_virtual(_ended_after(READ_BYTES_PER_S, 200.0, 150.0)) is None

    @pytest.mark.parametrize("seconds", [0.0, 40.0])
    def test_caller_that_reads_no_more_loses_it(self, seconds: float):
        ended_after = run_virtual(_ended_after(READ_BYTES_PER_S, seconds, 200.0))
        assert ended_after is not None
        assert seconds + PROGRESS_TIMEOUT_S <= ended_after <= seconds + 2 * PROGRESS_TIMEOUT_S
