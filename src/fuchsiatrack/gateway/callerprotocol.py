"""HTTP protocol of callers' connections, which bounds heads and reports unanswered requests."""

from __future__ import annotations

import logging

from aiohttp import StreamReader, web

# Largest head of a request: all lines together.  Operators currently allow callers 16 KB.
MAX_HEAD_BYTES = 65_536
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

log = logging.getLogger(__name__)


class CallerProtocol(web.RequestHandler):
    """Connection of one caller, which is closed once the head of a request is too large.

    aiohttp bounds each field and their number, but not their sum.  A connection that ends with a
    request unanswered is logged, with the side that ended it.
    """

    __slots__ = ("_head_size", "_body", "_closed_for")

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        # What has arrived of the head that isn't complete.
        self._head_size = 0
        # The body of the latest request.
        self._body: StreamReader | None = None
        # Why the daemon ends the connection.
        self._closed_for = ""

    @property
    def unanswered(self) -> int:
        """How many requests have been read without a complete response."""
        return len(self._messages) + self._request_in_progress

    def close_for(self, reason: str) -> None:
        """Close the connection; *reason* is for logs."""
        self._closed_for = reason
        self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.unanswered or self._head_size:
            fields = {
                "closed_by": "daemon" if self._force_close or self._close else "caller",
                "why": self._closed_for or repr(exc),
                "requests": self.unanswered,
                "in_handler": self._request_in_progress,
                "head_bytes": self._head_size,
            }
            log.info("connection ended with a request unanswered", extra=fields)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        is_reading_body = self._body is not None and not self._body.is_eof()
        requests_before = self._request_count
        super().data_received(data)
        if self._request_count != requests_before:
            _, self._body = self._messages[-1]
        if is_reading_body or self._request_count != requests_before:
            self._head_size = 0
            return
        self._head_size += len(data)
        if self._head_size > MAX_HEAD_BYTES and self.transport is not None:
            self._reject_head()

    def _reject_head(self) -> None:
        log.warning("head of a request too large", extra={"bytes": self._head_size})
        if self._current_request is None and not self._messages:
            self.transport.write(HEAD_TOO_LARGE_RESPONSE)
        # An earlier request on this connection gets no response after one to a later request.
        self.close_for("head too large")


class CallerProtocolServer(web.Server):
    """Creates the protocols of callers' connections."""

    def __call__(self) -> CallerProtocol:
        return CallerProtocol(self, loop=self._loop, **self._kwargs)
