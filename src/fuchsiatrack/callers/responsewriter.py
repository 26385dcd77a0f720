"""Writing of responses to callers that may read them slowly, or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Iterator

from aiohttp import web

from fuchsiatrack.callers.kernelstate import count_unacknowledged
from fuchsiatrack.callers.responsememory import ResponseMemory, ResponseReceiver
from fuchsiatrack.kernel.metrics import Metrics

# Written to a connection at once, and the time in which a caller reads some of it at least.
PIECE_BYTES = 65_536
PROGRESS_TIMEOUT_S = 30.0
PROGRESS_CHECK_S = 5.0
# A response that its caller hasn't read on for this long is discarded before others.
STALLED_S = 1.0
BODILESS_STATUSES = frozenset((204, 304))

log = logging.getLogger(__name__)


class ResponseWriter(ResponseReceiver):
    """Holds a response until the caller on *connection* has read most of it.

    A response is either passed to `write`, or written by the user of `watch`.
    """

    def __init__(self, connection: web.RequestHandler, metrics: Metrics) -> None:
        self._connection = connection
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._progress_at = self._read_at = self._loop.time()
        # What the caller hadn't read at the latest check.
        self._unread = 0
        self._check: asyncio.TimerHandle | None = None

    @property
    def is_stalled(self) -> bool:
        return self._loop.time() - self._progress_at > STALLED_S

    async def write(self, request: web.BaseRequest, response: web.Response) -> None:
        """Write *response*, and end the connection if the caller reads nothing for long."""
        body = response.body
        if not isinstance(body, bytes | bytearray) or len(body) <= PIECE_BYTES:
            body = b""
        transport = self._connection.transport
        if body or (transport is not None and transport.get_write_buffer_size()):
            self._schedule_check()
        try:
            if not body or request.method == "HEAD" or response.status in BODILESS_STATUSES:
                await response.prepare(request)
                await response.write_eof()
            else:
                await self._write_pieces(request, response, memoryview(body))
        finally:
            if self._check is not None:
                self._check.cancel()
            if body:
                # An error's traceback may keep the response for long.
                response.body = None

    @contextlib.contextmanager
    def watch(self) -> Iterator[None]:
        """End the connection if a response that is written meanwhile makes no progress for long."""
        self._schedule_check()
        try:
            yield
        finally:
            self._check.cancel()

    def record_progress(self) -> None:
        """Count a part of the response that has left for the transport."""
        self._progress_at = self._loop.time()

    async def _write_pieces(
        self, request: web.BaseRequest, response: web.Response, body: memoryview
    ) -> None:
        """Write *body* in pieces, as the transport copies what it can't send at once."""
        writer = await response.prepare(request)
        for start in range(0, len(body), PIECE_BYTES):
            await writer.write(body[start : start + PIECE_BYTES], LIMIT=0)
            self.record_progress()
        # The body of the response has been written.
        await web.StreamResponse.write_eof(response)

    def _schedule_check(self) -> None:
        self._check = self._loop.call_later(PROGRESS_CHECK_S, self._check_progress)

    def _check_progress(self) -> None:
        now, transport = self._loop.time(), self._connection.transport
        unread = count_unacknowledged(transport) if transport is not None else 0
        # The kernel takes more only once the caller has read a large part of what it holds.
        if unread < self._unread:
            self._read_at = now
        self._unread = unread
        if now - max(self._progress_at, self._read_at) > PROGRESS_TIMEOUT_S:
            self.discard_response(f"nothing read for {PROGRESS_TIMEOUT_S} s")
        else:
            self._schedule_check()

    def discard_response(self, reason: str) -> None:
        log.warning("response to a slow caller discarded", extra={"why": reason})
        self._metrics.count("responses.discarded")
        if self._connection.transport is not None:
            # A response that ends early must not look complete.
            self._connection.transport.abort()


async def write_response(
    request: web.BaseRequest, response: web.Response, memory: ResponseMemory, metrics: Metrics
) -> None:
    """Write *response*, which *memory* counts until it has left this process for the most."""
    writer = ResponseWriter(request.protocol, metrics)
    memory.add(writer, len(response.body or b""))
    try:
        # A caller that has left is noticed by aiohttp as well.
        with contextlib.suppress(ConnectionError):
            await writer.write(request, response)
    finally:
        memory.remove(writer)
