"""A request's body: small ones are held for another send, large ones stream once."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web

from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.routing.errors import ErrorReason, RequestError

HELD_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024


class RequestBody:
    """The body of one caller's request; sizes in bytes, *idle* timeout in milliseconds."""

    def __init__(self, request: web.Request, limit: int, idle: int) -> None:
        self._request = request
        self._limit = limit
        self._idle = idle
        self._held: bytes | None = None
        self.started = False
        self.failure: RequestError | None = None

    @property
    def can_resend(self) -> bool:
        """Whether the whole body can be sent (once more)."""
        return self._held is not None or not self.started

    @property
    def length(self) -> int | None:
        """The body's length, or None while unknown."""
        return len(self._held) if self._held is not None else self._request.content_length

    async def buffer_if_small(self) -> None:
        """Read a small body whole; leave others to stream.  Raises RequestError."""
        length = self._request.content_length
        if not self._request.can_read_body:
            self._held = b""
        elif length is not None and length <= HELD_BYTES:
            parts = [part async for part in self._read(Verdict.NOT_RUN)]
            self._held = b"".join(parts)

    def to_send(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body for one send."""
        if self._held is not None:
            return self._held or None
        return self._read(Verdict.MAY_HAVE_RUN)

    async def _read(self, verdict: Verdict) -> AsyncIterator[bytes]:
        """Yield the body; *verdict* is what a failure says of the request.

        A failure is also kept in `failure`, since it may be raised inside of a send.
        """
        self.started = True
        received = 0
        while True:
            try:
                async with asyncio.timeout(self._idle / 1_000):
                    part = await self._request.content.read(CHUNK_BYTES)
            except TimeoutError:
                raise self._fail(ErrorReason.SLOW_CALLER, verdict) from None
            if not part:
                return
            received += len(part)
            if received > self._limit:
                raise self._fail(ErrorReason.TOO_LARGE, verdict)
            yield part

    def _fail(self, reason: ErrorReason, verdict: Verdict) -> RequestError:
        self.failure = RequestError(reason, verdict)
        return self.failure
