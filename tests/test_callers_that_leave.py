"""Callers that close their connection while their upload waits for a server."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiatrack.gateway.admission import AdmissionQueue
from tests.fleet import HOST, Fleet, route, run_fleet

UPLOADS = route("uploads", "/uploads/", "upload", "vault", Timeout="20000ms")
# More than the daemon reads while an upload waits, and less than the kernel takes besides.
LARGE_BYTES = 900_000
TIMEOUT_S = 20.0


@pytest.fixture
async def fleet(monkeypatch):
    """Yield a fleet with a daemon, whose requests wait for `admit`, and one server."""
    acquire = AdmissionQueue.acquire
    async with run_fleet() as running:
        running.waiting, running.admit = asyncio.Event(), asyncio.Event()

        async def wait_and_acquire(queue: AdmissionQueue, *arguments: object) -> None:
            running.waiting.set()
            await running.admit.wait()
            await acquire(queue, *arguments)

        monkeypatch.setattr(AdmissionQueue, "acquire", wait_and_acquire)
        running.publish(1, [UPLOADS])
        await running.add_server("vault-0", "vault")
        await running.add_daemon("entry-1")
        await running.wait_ready()
        yield running


@pytest.mark.parametrize("form", ["length", "chunks", "small"])
class TestCallersThatLeave:
    """No request reaches a server once its caller has left."""

    async def test_waiting_upload_of_a_caller_that_left_is_not_sent(self, fleet: Fleet, form: str):
        """Guards against uploads that run for nobody and take the turns of others (GONE)."""
        _, writer = await _upload(fleet, form)
        await fleet.waiting.wait()
        # What the daemon doesn't read reaches the kernel.
        await asyncio.sleep(0.2)
        writer.close()
        await writer.wait_closed()
        await asyncio.sleep(0.2)
        fleet.admit.set()
        listener = fleet.daemons["entry-1"]._listener
        await _wait_for(lambda: not listener.in_flight)
        assert not fleet.servers["vault-0"].arrivals

    async def test_waiting_upload_of_a_caller_that_stays_is_served(self, fleet: Fleet, form: str):
        reader, writer = await _upload(fleet, form)
        await fleet.waiting.wait()
        await asyncio.sleep(0.2)
        fleet.admit.set()
        async with asyncio.timeout(TIMEOUT_S):
            response = await reader.read()
        assert response.startswith(b"HTTP/1.1 200")
        writer.close()


async def _upload(fleet: Fleet, form: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a whole upload on a connection of its own."""
    callers = fleet.settings["entry-1"].callers
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    body = b"f" * (1_000 if form == "small" else LARGE_BYTES)
    if form == "chunks":
        framing = "Transfer-Encoding: chunked"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        framing = f"Content-Length: {len(body)}"
    head = (
        f"POST /uploads/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: left\r\n"
        f"X-Deadline-Ms: 19000\r\nConnection: close\r\n{framing}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await writer.drain()
    return reader, writer


async def _wait_for(condition) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)
