"""Chunked bodies that break off in what is no chunk, at a gateway daemon."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from tests.daemonprocess import TIMEOUT_S, read_status, run_daemon
from tests.fleet import HOST, route


class TestMalformedBodies:
    """Bodies that are not in chunks end their request at once, at a gateway daemon."""

    @pytest.mark.parametrize("is_late", [False, True], ids=["with-the-head", "later"])
    async def test_request_with_a_malformed_chunk_is_rejected(
        self, is_late: bool, tmp_path: pathlib.Path
    ):
        """Guards against a request that waits for the rest of its body until its deadline."""
        routes = [route("uploads", "/uploads/", "upload", "vault", Timeout="600000ms")]
        head = (
            f"POST /uploads/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: bad\r\n"
            "X-Deadline-Ms: 600000\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()
        async with run_daemon(tmp_path, routes, [("vault-0", "vault", 0.0)]) as environment:
            reader, writer = await environment.connect()
            writer.write(head + (b"2\r\nxx\r\n" if is_late else b"x\r\n"))
            if is_late:
                # Lets the daemon send what has arrived.
                await asyncio.sleep(0.5)
                writer.write(b"x\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                response = await reader.read()
            # A server may have had a part of the late one.
            statuses = (400, 502) if is_late else (400,)
            assert int(response.split()[1]) in statuses
            # Not the end of a wait for the rest of the body.
            assert ("malformed body" in (tmp_path / "entry-1.log").read_text()) or not is_late
            assert response.count(b"HTTP/1.1") == 1
            assert not any(run.finished for run in environment.servers["vault-0"].runs)

    async def test_request_is_served_whose_body_ends_before_malformed_bytes(
        self, tmp_path: pathlib.Path
    ):
        """Guards against a whole body that counts as malformed for what follows it."""
        routes = [route("uploads", "/uploads/", "upload", "vault", Timeout="20000ms")]
        head = (
            f"POST /uploads/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: good\r\n"
            "X-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()
        async with run_daemon(tmp_path, routes, [("vault-0", "vault", 0.0)]) as environment:
            reader, writer = await environment.connect()
            writer.write(head + b"2\r\nxx\r\n")
            await asyncio.sleep(0.3)
            writer.write(b"0\r\n\r\n!!!\r\n\r\n")
            assert [await read_status(reader) for _ in range(2)] == [200, 400]
