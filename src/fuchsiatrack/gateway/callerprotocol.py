"""HTTP protocol of callers' connections, which bounds the heads of requests."""

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

    aiohttp bounds each field and their number, but not their sum.
    """

    __slots__ = ("_head_size", "_body")

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        # What has arrived of the head that isn't complete.
        self._head_size = 0
        # The body of the latest request.
        self._body: StreamReader | None = None

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
        self.force_close()


class CallerProtocolServer(web.Server):
    """Creates the protocols of callers' connections."""

    def __call__(self) -> CallerProtocol:
        return CallerProtocol(self, loop=self._loop, **self._kwargs)
