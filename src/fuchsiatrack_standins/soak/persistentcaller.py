"""Callers that keep one connection open for as long as the daemon does."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Callable

from fuchsiatrack_standins.soak.callers import (
    DEADLINE_MS,
    HOST,
    KEYS,
    REQUEST_KINDS,
    REQUEST_PAUSE_S,
    CompletedCall,
    combine_states,
)
from fuchsiatrack_standins.soak.daemons import DaemonProcess

RECONNECT_PAUSE_S = 0.1


class PersistentCaller:
    """Sends requests to one daemon on one connection, even while the daemon stops.

    It ignores `Connection: close` and opens a new connection only after the daemon has closed the
    old one.  *record* receives each completed call.
    """

    def __init__(
        self,
        name: str,
        daemon: DaemonProcess,
        seed: int,
        record: Callable[[CompletedCall], None],
    ) -> None:
        self._name = name
        self._daemon = daemon
        self._rng = random.Random(f"{seed} {name}")
        self._record = record
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _use_connection(self) -> None:
        host, port = self._daemon.callers_address
        reader, writer = await asyncio.open_connection(host, port)
        try:
            while await self._call(reader, writer):
                await asyncio.sleep(REQUEST_PAUSE_S)
        finally:
            writer.transport.abort()

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request; return whether a response arrived."""
        method, path, is_keyed = self._rng.choice(REQUEST_KINDS)
        request_id = f"{self._name}-{next(self._numbers):06x}"
        key = f"X-Shard-Key: {self._rng.choice(KEYS)}\r\n" if is_keyed else ""
        started_at_s = time.monotonic()
        state, start_count = self._daemon.state, self._daemon.start_count
        status, text, leaving, whole_sent_at_s = 0, "", False, None
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\n{key}Content-Length: 0\r\n\r\n".encode()
            )
            whole_sent_at_s = time.monotonic()
            async with asyncio.timeout(3 * DEADLINE_MS / 1_000):
                status, text, leaving = await _read_response(reader)
        except (TimeoutError, OSError, EOFError, ValueError) as error:
            text = repr(error)
        restarted = start_count != self._daemon.start_count
        call = CompletedCall(
            request_id,
            method,
            self._daemon.vm,
            status,
            text,
            int((time.monotonic() - started_at_s) * 1_000),
            combine_states(state, self._daemon.state, restarted),
            path,
            started_at_s,
            leaving,
            whole_sent_at_s,
        )
        self._record(call)
        return status != 0


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, str, bool]:
    """Return status, body and whether the server leaves.

    Raises EOFError or ValueError if the response is not complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status_line, *lines = head.split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    body = await reader.readexactly(int(fields["content-length"]))
    return int(status_line.split()[1]), body.decode(), "server-leaving" in fields
