"""Responses that a backend server sends again, late, to daemons of the YAML interface."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.routing.connectionpool import (
    BackendConnectionPool,
    OutgoingRequest,
    SendFailure,
    Target,
)

HEAD = b"HTTP/1.1 200 OK\r\nFuchsiatrack-Request-Id: r2\r\nContent-Length: 12\r\n\r\n"


def _rejection(send_id: str) -> bytes:
    line = f"Fuchsiatrack-Request-Id: {send_id}\r\n" if send_id else ""
    return (
        f"HTTP/1.1 503 Busy\r\n{line}" "Fuchsiatrack-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def _request(send_id: str) -> OutgoingRequest:
    headers = {"Fuchsiatrack-Request-Id": send_id}
    return OutgoingRequest("GET", "/", headers, None, send_id, True, 1_000, lambda timeout: None)


async def _send_all(respond: Callable[[int], bytes], send_ids: tuple[str, ...]) -> list:
    """Send requests one after the other; *respond* returns the bytes for each, by its number."""
    count = 0

    async def serve(reader, writer):
        nonlocal count
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            count += 1
            data = respond(count)
            writer.write(data)
            await writer.drain()
            if not data.endswith(b"\r\n\r\n"):
                break
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    pool = BackendConnectionPool(max_daemons=1)
    target = Target("s1", f"{host}:{port}", 40)
    try:
        return [await pool.send(target, _request(send_id)) for send_id in send_ids]
    finally:
        await pool.close()
        server.close()


class TestSecondCopies:
    """A server sends an earlier response once more on a connection that is in use again."""

    @pytest.mark.parametrize("send_id", ["r1", ""])
    async def test_rejection_of_an_earlier_request_proves_nothing(self, send_id: str):
        outcomes = await _send_all(lambda count: _rejection(send_id), ("r1", "r2"))
        assert [item.verdict for item in outcomes] == [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN]


class TestCutHeads:
    """A server stops in the middle of its response's head, and closes the connection."""

    @pytest.mark.parametrize("length", [5, 17, 30, 50, 65, len(HEAD) - 2, len(HEAD) - 1])
    async def test_part_of_a_head_is_no_response(self, length: int):
        [outcome] = await _send_all(lambda count: HEAD[:length], ("r2",))
        assert isinstance(outcome, SendFailure)
        assert outcome.verdict is Verdict.MAY_HAVE_RUN
