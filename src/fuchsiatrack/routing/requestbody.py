"""A request's body: small ones are buffered for resends, large ones are streamed once."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.routing.errors import ErrorReason, RequestError

BUFFERED_BODY_MAX_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
# What a streamed body takes at most: in the kernel's receive buffer, in aiohttp's reader, and in
# the transport of the server.
STREAMED_BODY_BYTES = 512 * 1024
STREAMED_SOCKET_BUFFER_BYTES = 256 * 1024


class RequestBody:
    """The body of one caller's request.

    *max_length* is in bytes.  *idle_timeout* is the longest wait for the next bytes from the
    caller, in milliseconds.  `started` is whether reading has begun.
    """

    def __init__(self, request: web.Request, max_length: int, idle_timeout: int) -> None:
        self._request = request
        self._max_length = max_length
        self._idle_timeout = idle_timeout
        self._buffered: bytes | None = None
        self.started = False
        self._failure: tuple[ErrorReason, Verdict] | None = None

    @property
    def failure(self) -> RequestError | None:
        """The error that ended the reading, or None.

        A new one each time: if it were kept, its traceback would refer to this body.
        """
        return RequestError(*self._failure) if self._failure is not None else None

    @property
    def can_resend(self) -> bool:
        """Whether the whole body is available for the next send."""
        return self.is_buffered or not self.started

    @property
    def is_buffered(self) -> bool:
        """Whether the whole body has been read into memory."""
        return self._buffered is not None

    @property
    def length(self) -> int | None:
        """The length of the body in bytes, or None if unknown."""
        return len(self._buffered) if self._buffered is not None else self._request.content_length

    async def buffer_if_small(self) -> None:
        """Read a small body into memory; leave a large one or one of unknown length to stream.

        Raises RequestError.
        """
        length = self._request.content_length
        if not self._request.can_read_body:
            self._buffered = b""
        elif isinstance(self._request.content.exception(), RequestPayloadError):
            raise self._record_failure(ErrorReason.BAD_BODY, Verdict.NOT_RUN)
        elif length is not None and length <= BUFFERED_BODY_MAX_BYTES:
            chunks = [chunk async for chunk in self._read(Verdict.NOT_RUN)]
            self._buffered = b"".join(chunks)

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body for one send, or None if it is empty."""
        if self._buffered is not None:
            return self._buffered or None
        return self._read(Verdict.MAY_HAVE_RUN)

    async def _read(self, verdict: Verdict) -> AsyncIterator[bytes]:
        """Yield the body in chunks; *verdict* is the verdict of the request if reading fails.

        The error is also stored in `failure`, because it may be raised inside a send.
        """
        self.started = True
        received = 0
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout / 1_000):
                    chunk = await self._request.content.read(CHUNK_BYTES)
            except TimeoutError:
                raise self._record_failure(ErrorReason.SLOW_CALLER, verdict) from None
            except RequestPayloadError:
                raise self._record_failure(ErrorReason.BAD_BODY, verdict) from None
            if not chunk:
                return
            received += len(chunk)
            if received > self._max_length:
                raise self._record_failure(ErrorReason.TOO_LARGE, verdict)
            yield chunk

    def _record_failure(self, reason: ErrorReason, verdict: Verdict) -> RequestError:
        self._failure = reason, verdict
        return RequestError(reason, verdict)
