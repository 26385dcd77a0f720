"""HTTP protocol of callers' connections, which knows what each connection owes its caller."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import StreamReader, web
from aiohttp.http import HttpVersion11
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from fuchsiatrack.callers.kernelstate import count_unacknowledged, has_unread
from fuchsiatrack.callers.orderlyclose import DISCARD_MAX_MS, SILENCE_MAX_MS, OrderlyTransport

# Largest head of a request: all lines together.  Operators currently allow callers 16 KB.
MAX_HEAD_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
# Most bytes of a body that are discarded after its response.
DISCARD_BODY_MAX_BYTES = 2**26

log = logging.getLogger(__name__)


class RejectedRequest(Exception):
    """A request that is answered with an error before it has arrived."""


class CallerProtocol(web.RequestHandler):
    """Connection of one caller.

    It is closed once the head of a request is too large: aiohttp bounds each field and their
    number, but not their sum.  A connection that ends with a request unanswered is logged, with the
    side that ended it and the ids of its requests, which *request_id* reads from their headers.
    """

    __slots__ = (
        "_head_size",
        "_body",
        "_closed_for",
        "_takes_requests",
        "_read_request_id",
        "_requests_at_timeout",
        "_caller_transport",
        "_make_request",
        "_discarded",
        "_discard_check",
    )

    def __init__(
        self,
        *arguments: object,
        request_id: Callable[[Mapping[str, str]], str],
        **options: object,
    ) -> None:
        super().__init__(*arguments, lingering_time=DISCARD_MAX_MS / 1_000, **options)
        self._read_request_id = request_id
        # Outlives `transport`, which aiohttp drops when it closes the connection.
        self._caller_transport: OrderlyTransport | None = None
        # How many requests had been read when the keepalive timeout ended last.
        self._requests_at_timeout = -1
        # What has arrived of the head that isn't complete.
        self._head_size = 0
        # The body of the latest request.
        self._body: StreamReader | None = None
        # Why the daemon ends the connection.
        self._closed_for = ""
        self._takes_requests = True
        # Of the body whose response is being written or has been.
        self._discarded = 0
        self._discard_check: asyncio.TimerHandle | None = None
        self._make_request = self._request_factory
        self._request_factory = self._start_request

    @property
    def unanswered(self) -> list[str]:
        """The ids of the requests that have been read without a complete response."""
        headers = [message.headers for message, _ in self._messages if hasattr(message, "headers")]
        if self._current_request is not None:
            headers.insert(0, self._current_request.headers)
        return [self._read_request_id(item) for item in headers]

    @property
    def has_next(self) -> bool:
        """Whether a request has arrived, or a part of one, behind the current one."""
        if self._messages or self._head_size:
            return True
        if self._is_reading_body or self.transport is None:
            return False
        return has_unread(self.transport)

    @property
    def is_idle(self) -> bool:
        """Whether neither a request, nor a part of one, nor a response is under way."""
        # aiohttp's task waits for a request only while it has none.
        is_waiting = self._waiter is not None and not self._waiter.done()
        return is_waiting and not (
            self.has_next
            or self._is_reading_body
            or self.transport is None
            or self.transport.is_closing()
            or count_unacknowledged(self.transport)
        )

    @property
    def _is_reading_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def close_idle(self, reason: str) -> None:
        """Close the connection, which is idle; *reason* is for logs.

        A request that crosses the close isn't read, so that its caller may send it again.
        """
        self._closed_for = reason
        self.transport.close_at_once()
        self.force_close()

    def abort(self, reason: str) -> None:
        """Reset the connection; *reason* is for logs."""
        self._closed_for = reason
        if self._caller_transport is None:
            return
        unsent = self._caller_transport.get_write_buffer_size()
        if unsent:
            log.warning("response not sent in full", extra={"why": reason, "bytes": unsent})
        self._caller_transport.abort()

    def discard_body(self) -> None:
        """Discard what still arrives of the request's body, as long as its caller sends."""
        if not self._is_reading_body:
            return
        self._discarded = 0
        self._schedule_discard_check(self._body)

    def expect_no_body(self) -> None:
        """Close the connection after the response, without waiting for the request's body."""
        self._lingering_time = 0.0

    def reject_partial_head(self) -> None:
        """Respond to a request whose head hasn't arrived, as not run, and take no other."""
        if self._head_size and self._takes_requests:
            self._reject(408, "head of a request incomplete")

    # asyncio protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._caller_transport = OrderlyTransport(transport, self)
        super().connection_made(self._caller_transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self._messages or self._current_request is not None or self._head_size:
            is_closed_here = bool(self._closed_for) or self._caller_transport.has_ended
            fields = {
                "closed_by": "daemon" if is_closed_here else "caller",
                "why": self._closed_for or repr(exc),
                "request_ids": self.unanswered,
                "head_bytes": self._head_size,
            }
            log.info("connection ended with a request unanswered", extra=fields)
        self._caller_transport = None
        if self._discard_check is not None:
            self._discard_check.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if not self._takes_requests:
            return
        was_reading_body = self._is_reading_body
        self._discarded += len(data)
        requests_before = self._request_count
        super().data_received(data)
        if self._request_count != requests_before:
            _, self._body = self._messages[-1]
        if was_reading_body or self._request_count != requests_before:
            self._head_size = self._size_after_request(data)
            return
        # Line ends before a request line belong to no request.
        self._head_size += len(data) if self._head_size else len(data.lstrip(b"\r\n"))
        if self._head_size > MAX_HEAD_BYTES:
            self._reject(431, "head of a request too large")

    def _size_after_request(self, data: bytes) -> int:
        """Return how much of *data*, in bytes, belongs to the next head.

        That is known only behind a request without a body.
        """
        end = data.rfind(HEAD_END)
        if self._body is not EMPTY_PAYLOAD or end < 0:
            return 0
        return len(data) - end - len(HEAD_END)

    def _schedule_discard_check(self, body: StreamReader) -> None:
        self._discard_check = self._loop.call_later(
            SILENCE_MAX_MS / 1_000, self._check_discarded, body, self._discarded
        )

    def _check_discarded(self, body: StreamReader, discarded_before: int) -> None:
        """End the connection if nothing, or too much, has arrived of *body*."""
        if body.is_eof() or self._caller_transport is None:
            return
        # The body isn't read while its response is being written.
        is_silent = self._discarded == discarded_before and not self._request_in_progress
        if not is_silent and self._discarded <= DISCARD_BODY_MAX_BYTES:
            self._schedule_discard_check(body)
            return
        self._closed_for = "body incomplete" if is_silent else "body too large to discard"
        self.close()
        body.feed_eof()

    def _reject(self, status: int, message: str) -> None:
        """Respond with *status* after the responses to earlier requests, and take no other."""
        log.warning(message, extra={"bytes": self._head_size})
        self._takes_requests = False
        self._head_size = 0
        error = _ErrInfo(status=status, exc=RejectedRequest(message), message=message)
        self._messages.append((error, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # aiohttp's hooks

    def _start_request(self, *arguments: object) -> web.BaseRequest:
        """Create a request, which is in progress from now on.

        aiohttp takes it for that only once the task that handles it has begun to run.
        """
        self._request_in_progress = True
        self._current_request = self._make_request(*arguments)
        return self._current_request

    def _process_keepalive(self) -> None:
        is_waiting = self.transport is not None and self._waiter is not None
        if not is_waiting or self._loop.time() < self._next_keepalive_close_time:
            super()._process_keepalive()
            return
        self._keepalive_handle = None
        if self.is_idle:
            self.close_idle("keepalive timeout")
            return
        if self._requests_at_timeout == self._request_count:
            self.reject_partial_head()
        # A request is arriving.
        self._requests_at_timeout = self._request_count
        self._next_keepalive_close_time = self._loop.time() + self._keepalive_timeout
        self._keepalive_handle = self._loop.call_at(
            self._next_keepalive_close_time, self._process_keepalive
        )

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        log.info("request rejected", extra={"status": status, "why": repr(exc)})
        # aiohttp takes a request that it could not parse for one of HTTP/1.0.
        request._version = HttpVersion11
        response = web.Response(status=status, text=message)
        response.force_close()
        return response


class CallerProtocolServer(web.Server):
    """Creates the protocols of callers' connections.

    *keepalive_timeout* returns for how long a connection may be idle, in seconds, and *request_id*
    the id in the headers of a request.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        keepalive_timeout: Callable[[], float],
        request_id: Callable[[Mapping[str, str]], str],
        **options: object,
    ) -> None:
        super().__init__(handler, request_id=request_id, **options)
        self._read_keepalive_timeout = keepalive_timeout

    def __call__(self) -> CallerProtocol:
        timeout = self._read_keepalive_timeout()
        return CallerProtocol(self, loop=self._loop, keepalive_timeout=timeout, **self._kwargs)
