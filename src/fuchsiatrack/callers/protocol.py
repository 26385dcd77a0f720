"""HTTP protocol of callers' connections, which knows what each connection owes its caller."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import StreamReader, web
from aiohttp.http import HttpRequestParser, HttpVersion11
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestPayloadError, _ErrInfo

from fuchsiatrack.callers.connectionbudget import BudgetedConnection, ConnectionBudget
from fuchsiatrack.callers.kernelstate import (
    count_unacknowledged,
    has_unread,
    limit_receive_buffer,
)
from fuchsiatrack.callers.orderlyclose import DISCARD_MAX_MS, SILENCE_MAX_MS, OrderlyTransport
from fuchsiatrack.callers.parsingbudget import ParsingBudget
from fuchsiatrack.callers.requestmemory import Arrival, BodySource
from fuchsiatrack.callers.responsewriter import STALLED_S

# Largest head of a request: all lines together.  Operators currently allow callers 16 KB.
MAX_HEAD_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
# A head that is being received or served is held in parts, whole, and decoded.
HEAD_COPIES = 3
# Heads below this aren't counted.
UNCOUNTED_HEAD_BYTES = 8_192
# Line ends that may come before a request line.
MAX_LINE_ENDS_BYTES = 1_024
# Bytes, and requests, behind the one that is being served, above which no more are read.
MAX_QUEUED_BYTES = 32_768
MAX_QUEUED_REQUESTS = 16
# Received at once, and the share of a body that is buffered until it is read: at most twice this
# size, in at most a sixteenth as many chunks.
RECEIVE_BYTES = 32_768
READ_BUFFER_BYTES = 16_384
# What the kernel buffers of each connection, and of one whose large body has its memory reserved.
SOCKET_BUFFER_BYTES = 32_768
BODY_SOCKET_BUFFER_BYTES = 524_288
# Responses that have left for the transport up to this size count as sent.
WRITE_BUFFER_BYTES = 16_384
# How long a head may take beyond what its limit allows.
HEAD_TIMEOUT_RATIO = 1.25
# A head whose rest has arrived, but hasn't been read, gets this time again.
HEAD_RECHECK_S = 1.0
# Of what is wrong with a malformed request, in logs and in its response.
MAX_ERROR_CHARS = 200
# Most bytes of a body that are discarded after its response.
DISCARD_BODY_MAX_BYTES = 2**26

log = logging.getLogger(__name__)


class RejectedRequest(Exception):
    """A request that is answered with an error before it has arrived."""


class CallerProtocol(web.RequestHandler, BudgetedConnection, BodySource):
    """Connection of one caller.

    It is closed once the head of a request is too large: aiohttp bounds each field and their
    number, but not their sum.  A connection that ends with a request unanswered is logged, with the
    side that ended it and the ids of its requests, which *request_id* reads from their headers.

    *budget* may close it for the others, and *parsing* lets its chunked bodies wait.  A head has
    *head_timeout* seconds to arrive.
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
        "_budget",
        "_head_timeout",
        "_head_check",
        "_head_since",
        "_body_at",
        "_body_since",
        "_line_ends",
        "_held",
        "_queued",
        "_is_counted",
        "_unread_at_timeout",
        "_has_large_buffer",
        "_framing",
        "_auto_decompress",
        "_writing_paused_at",
        "_has_switched",
        "_parsing",
        "_is_chunked",
        "_unparsed",
        "_is_deferred",
        "_ignores_following",
        "_arrivals",
        "_received_at",
        "_paused_since",
        "_queueing_time",
    )

    def __init__(
        self,
        *arguments: object,
        request_id: Callable[[Mapping[str, str]], str],
        budget: ConnectionBudget,
        parsing: ParsingBudget,
        head_timeout: float,
        **options: object,
    ) -> None:
        super().__init__(
            *arguments,
            lingering_time=DISCARD_MAX_MS / 1_000,
            read_bufsize=READ_BUFFER_BYTES,
            **options,
        )
        self._auto_decompress = bool(options.get("auto_decompress", True))
        self._limit_queue()
        self._read_request_id = request_id
        self._budget = budget
        self._parsing = parsing
        self._is_chunked = False
        # What of a chunked body waits until there is time to parse it.
        self._unparsed = b""
        self._is_deferred = False
        self._head_timeout = head_timeout
        self._head_check: asyncio.TimerHandle | None = None
        # Since when a head has been incomplete, when the latest body began, and when a part of it
        # arrived last.
        self._head_since = 0.0
        self._body_since = 0.0
        self._body_at = 0.0
        # Bytes of line ends since the latest request.
        self._line_ends = 0
        # Bytes of heads, and those behind the request that is being served.
        self._held = 0
        self._queued = 0
        self._is_counted = False
        # Bytes of chunk heads and trailers since a part of the body arrived.
        self._framing = 0
        # Since when the transport has taken no more of a response, while it takes none.
        self._writing_paused_at = 0.0
        self._has_large_buffer = False
        # What the caller hadn't read when the keepalive timeout ended last.
        self._unread_at_timeout = 0
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
        # Whether the response that ends the connection has been announced.
        self._ignores_following = False
        # Whether the caller has gone on in another protocol.
        self._has_switched = False
        # Of the body whose response is being written or has been.
        self._discarded = 0
        self._discard_check: asyncio.TimerHandle | None = None
        # When each request of `_messages` arrived.  A list, as it takes less than a deque.
        self._arrivals: list[float] = []
        # When what was received last arrived.
        self._received_at = 0.0
        # Since when what the kernel holds hasn't been read, as the queue was full.
        self._paused_since: float | None = None
        self._queueing_time = 0.0
        self._make_request = self._request_factory
        self._request_factory = self._start_request

    def _limit_queue(self) -> None:
        """Let aiohttp queue fewer requests than it does by itself."""
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._parser = self._create_parser()

    def _create_parser(self) -> HttpRequestParser:
        return HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=self._auto_decompress,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )

    @property
    def unanswered(self) -> list[str]:
        """The ids of the requests that have been read without a complete response."""
        messages = () if self._ignores_following else self._messages
        headers = [message.headers for message, _ in messages if hasattr(message, "headers")]
        if self._current_request is not None:
            headers.insert(0, self._current_request.headers)
        return [self._read_request_id(item) for item in headers]

    @property
    def queueing_time(self) -> int:
        """How long the current request has waited for those before it, in milliseconds."""
        return int(self._queueing_time * 1_000)

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
    def waits_since(self) -> float | None:
        if self._paused and self._loop.time() - self._writing_paused_at > STALLED_S:
            return self._writing_paused_at
        if self._is_reading_body:
            return self._body_at
        if self._request_in_progress or self._messages:
            return None
        if self._head_size:
            return self._head_since
        # Set at the end of each response.
        return self._next_keepalive_close_time - self._keepalive_timeout

    @property
    def arrival(self) -> Arrival | None:
        is_current = self._current_request is not None and (
            self._current_request.content is self._body
        )
        is_paused = self._reading_paused or (self._buffer_paused and not self._is_deferred)
        if not is_current or not self._is_reading_body or is_paused:
            return None
        return Arrival(self._loop.time() - self._body_since, self._body.total_bytes)

    @property
    def held_bytes(self) -> int:
        is_served = self._request_in_progress or self._messages or self._head_size
        held = self._held if is_served else 0
        return HEAD_COPIES * (held + self._framing)

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

    def give_way(self, reason: str) -> None:
        if self.is_idle:
            self.close_idle(reason)
            return
        self._takes_requests = False
        self._drop_queued()
        self.abort(reason)

    def abort(self, reason: str) -> None:
        """Reset the connection; *reason* is for logs."""
        self._closed_for = reason
        if self._caller_transport is None:
            return
        unsent = self._caller_transport.get_write_buffer_size()
        if unsent:
            log.warning("response not sent in full", extra={"why": reason, "bytes": unsent})
        self._caller_transport.abort()

    def expect_large_body(self, buffer_bytes: int = BODY_SOCKET_BUFFER_BYTES) -> None:
        """Let the kernel buffer *buffer_bytes* of a body until the response.

        This lets the end of the body arrive before it is read.  A buffer that is smaller than one
        segment of the peer also slows the body down to what zero-window probes bring, five times a
        second.
        """
        if self._caller_transport is not None and not self._has_large_buffer:
            self._has_large_buffer = True
            limit_receive_buffer(self._caller_transport, buffer_bytes)

    def discard_body(self, request: web.BaseRequest) -> bool:
        """Discard what still arrives of the body of *request*, as long as its caller sends.

        Return whether the connection must end with the response: what arrives of a chunked body,
        or of another protocol, isn't parsed any more, as the parser would hold more of it than what
        counts for a connection.
        """
        if self._caller_transport is not None and self._has_large_buffer:
            self._has_large_buffer = False
            limit_receive_buffer(self._caller_transport, SOCKET_BUFFER_BYTES)
        is_last = self._has_switched and not self._messages
        if request.content.is_eof() and not is_last:
            return False
        if is_last or request.content_length is None:
            self.expect_no_body()
            return True
        self._discarded = 0
        self._schedule_discard_check(request.content)
        return False

    def ignore_following(self) -> None:
        """Count what is behind the current request as not read, as its response tells the caller.

        The response must end the connection.
        """
        self._ignores_following = True

    def expect_no_body(self) -> None:
        """Close the connection after the response, without waiting for the request's body."""
        self._lingering_time = 0.0
        if self._caller_transport is not None:
            self._caller_transport.discard_limit = DISCARD_BODY_MAX_BYTES

    def reject_partial_head(self) -> None:
        """Respond to a request whose head hasn't arrived, as not run, and take no other."""
        if self._head_size and self._takes_requests:
            self._reject(408, "head of a request incomplete")

    # asyncio protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if hasattr(transport, "max_size"):
            # uvloop's transports receive all that the kernel holds.
            transport.max_size = RECEIVE_BYTES
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        limit_receive_buffer(transport, SOCKET_BUFFER_BYTES)
        self._caller_transport = OrderlyTransport(transport, self, self._discard_parser)
        super().connection_made(self._caller_transport)
        self._budget.add(self)

    def pause_writing(self) -> None:
        super().pause_writing()
        self._writing_paused_at = self._loop.time()

    def _discard_parser(self) -> None:
        """Free what the parser holds of a request, none of which is taken any more."""
        self._takes_requests = False
        self._unparsed = b""
        self._parser = self._create_parser()

    def connection_lost(self, exc: BaseException | None) -> None:
        has_following = bool(self._messages or self._head_size) and not self._ignores_following
        if has_following or self._current_request is not None:
            is_closed_here = bool(self._closed_for) or self._caller_transport.has_ended
            fields = {
                "closed_by": "daemon" if is_closed_here else "caller",
                "why": self._closed_for or repr(exc),
                "request_ids": self.unanswered,
                "head_bytes": self._head_size,
            }
            log.info("connection ended with a request unanswered", extra=fields)
        self._caller_transport = None
        self._budget.remove(self)
        for check in (self._discard_check, self._head_check):
            if check is not None:
                check.cancel()
        handler = self._task_handler
        super().connection_lost(exc)
        if handler is None or handler.done():
            self._free_requests()

    def data_received(self, data: bytes) -> None:
        if not self._takes_requests:
            return
        if data:
            self._record_receipt()
        self._parse_now_or_later(data)

    def _record_receipt(self) -> None:
        """Set when what is parsed from now on arrived.

        That isn't known of what the kernel held during a pause.  It counts as sent together with
        what filled the queue, so that its caller isn't kept waiting for longer than it allows.
        """
        since, self._paused_since = self._paused_since, None
        self._received_at = self._loop.time() if since is None else since

    def _parse_now_or_later(self, data: bytes) -> None:
        if self._is_deferred:
            self._unparsed += data
            return
        if self._is_reading_body and self._is_chunked:
            self._parse_chunks(data)
            return
        end = _end_of_chunked_head(data)
        self._parse(data[:end])
        if end < len(data) and self._takes_requests:
            self._parse_now_or_later(data[end:])

    def _parse_chunks(self, data: bytes) -> None:
        """Parse a part of a chunked body, now or once there is time."""
        if self._parsing.has_time:
            with self._parsing.spend():
                self._parse(data)
            return
        self._unparsed = data
        self._is_deferred = True
        self._pause_reading_for_buffer()
        self._parsing.wait(self._parse_deferred)

    def _parse_deferred(self) -> None:
        data, self._unparsed = self._unparsed, b""
        self._is_deferred = False
        if self._caller_transport is None or not self._takes_requests:
            return
        with self._parsing.spend():
            self._parse(data)
        if not self._is_queue_full:
            self._resume_reading_for_buffer()

    def _parse(self, data: bytes) -> None:
        was_reading_body = self._is_reading_body
        self._discarded += len(data)
        requests_before = self._request_count
        body, body_size = self._body, self._body.total_bytes if was_reading_body else 0
        super().data_received(data)
        if self._message_tail:
            # Belongs to another protocol, and none is switched to.
            self._message_tail = b""
            self._takes_requests = False
            self._has_switched = True
        if self._request_count != requests_before:
            count = self._request_count - requests_before
            self._arrivals.extend(itertools.repeat(self._received_at, count))
            self._line_ends = 0
            message, self._body = self._messages[-1]
            if not isinstance(message, _ErrInfo):
                self._is_chunked = message.chunked
            elif was_reading_body and not body.is_eof():
                self._reject_body(body, _without_input(message))
                return
            else:
                self._messages[-1] = _without_input(message), self._body
            self._body_since = self._loop.time()
        if was_reading_body:
            self._count_framing(0 if body.is_eof() or body.total_bytes > body_size else len(data))
            if not self._takes_requests:
                return
        if self._is_reading_body:
            self._body_at = self._loop.time()
        if not was_reading_body:
            self._count_heads(self._size_of_heads(data, requests_before))
        if was_reading_body or self._request_count != requests_before:
            self._head_size = self._size_after_request(data)
            self._await_head()
            return
        # Line ends before a request line belong to no request.
        part = len(data) if self._head_size else len(data.lstrip(b"\r\n"))
        self._head_size += part
        self._line_ends += len(data) - part
        if self._head_size > MAX_HEAD_BYTES:
            self._reject(431, "head of a request too large")
        elif self._line_ends > MAX_LINE_ENDS_BYTES:
            self._reject(400, "too many line ends before a request")
        else:
            self._await_head()

    def _reject_body(self, body: StreamReader, error: _ErrInfo) -> None:
        """Let the request that reads *body* fail, and take no other."""
        log.warning("malformed body", extra={"why": error.message})
        self._takes_requests = False
        self._messages.pop()
        self._arrivals.pop()
        self._body = body
        body.set_exception(RequestPayloadError(error.message))

    def _size_of_heads(self, data: bytes, requests_before: int) -> int:
        """Return how much of *data* belongs to heads, not counting what may be of bodies."""
        if self._request_count == requests_before or self._body is EMPTY_PAYLOAD:
            return len(data)
        end = data.find(HEAD_END)
        return end + len(HEAD_END) if end >= 0 else min(len(data), MAX_HEAD_BYTES)

    def _count_heads(self, size: int) -> None:
        """Count *size* bytes that have arrived of heads, and read no more if they are too many."""
        if self._request_in_progress or len(self._messages) > 1:
            self._queued += size
            if self._queued > MAX_QUEUED_BYTES and self._messages and not self._buffer_paused:
                self._pause_reading_for_buffer()
        elif not self._head_size:
            self._held = 0
        self._held += size
        self._report_held()

    def _count_framing(self, size: int) -> None:
        """Count *size* bytes that brought no part of a body, 0 after a part or its end.

        They belong to chunk heads, or to trailers, which the parser keeps until the body ends.
        """
        self._framing = self._framing + size if size else 0
        if self._framing > MAX_HEAD_BYTES:
            self._takes_requests = False
            self.abort("trailers too large")
            return
        self._report_held()

    def _report_held(self) -> None:
        if self._held + self._framing > UNCOUNTED_HEAD_BYTES or self._is_counted:
            held = self.held_bytes
            self._is_counted = bool(held)
            self._budget.hold(self, held)

    @property
    def _is_queue_full(self) -> bool:
        """Whether no more is read until a request has been answered."""
        is_large = bool(self._messages) and self._queued > MAX_QUEUED_BYTES
        return is_large or len(self._messages) >= MAX_QUEUED_REQUESTS

    def _resume_reading_if_drained(self) -> None:
        if not self._is_deferred and not self._is_queue_full:
            super()._resume_reading_if_drained()

    def _pause_reading_for_buffer(self) -> None:
        if not self._buffer_paused:
            self._paused_since = self._loop.time()
        super()._pause_reading_for_buffer()

    def _resume_reading_for_buffer(self) -> None:
        if self.transport is None or not has_unread(self.transport):
            self._paused_since = None
        super()._resume_reading_for_buffer()

    def _await_head(self) -> None:
        """Reject the next request if its head, a part of which has arrived, isn't complete soon."""
        if not self._head_size:
            if self._head_check is not None:
                self._head_check.cancel()
                self._head_check = None
        elif self._head_check is None:
            self._head_since = self._loop.time()
            self._head_check = self._loop.call_later(self._head_timeout, self._check_head)

    def _check_head(self) -> None:
        self._head_check = None
        if not self._head_size or self._caller_transport is None:
            return
        if self._buffer_paused or has_unread(self._caller_transport):
            # The process hasn't read what the caller has sent in time.
            self._head_check = self._loop.call_later(HEAD_RECHECK_S, self._check_head)
            return
        self.reject_partial_head()

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
        self._arrivals.append(self._loop.time())
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _free_requests(self) -> None:
        """Drop references to this connection, which would keep it until a garbage collection."""
        self._free_body()
        self._current_request = None
        self._drop_queued()

    def _drop_queued(self) -> None:
        self._messages.clear()
        self._arrivals.clear()

    def _free_body(self) -> None:
        body, self._body = self._body, None
        if body is not None:
            # Replaces an error whose traceback refers to the body.
            body.set_exception(ConnectionResetError("connection ended"))

    # aiohttp's hooks

    async def start(self) -> None:
        try:
            await super().start()
        except asyncio.CancelledError as error:
            # The task holds the error, whose traceback would refer to the task.
            raise error.with_traceback(None) from None
        finally:
            # Nobody reads a body any more, though it may still arrive and be discarded.
            self._free_body()
            if self._caller_transport is None:
                self._free_requests()

    def _make_error_handler(
        self, err_info: _ErrInfo
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        return super()._make_error_handler(_without_input(err_info))

    def _start_request(self, *arguments: object) -> web.BaseRequest:
        """Create a request, which is in progress from now on.

        aiohttp takes it for that only once the task that handles it has begun to run.
        """
        self._request_in_progress = True
        # The connection may have given way since the message was taken from the queue.
        arrived_at = self._arrivals.pop(0) if self._arrivals else self._received_at
        self._queueing_time = self._loop.time() - arrived_at
        self._current_request = self._make_request(*arguments)
        if self._queued and not self._messages:
            self._held, self._queued = self._queued, 0
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
        unread = count_unacknowledged(self.transport)
        if self._requests_at_timeout == self._request_count:
            self.reject_partial_head()
            if unread and unread == self._unread_at_timeout and not self._request_in_progress:
                self.abort("response not read")
                return
        self._unread_at_timeout = unread
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


def _end_of_chunked_head(data: bytes) -> int:
    """Return the end of the first head in *data* if its body is chunked, else the end of *data*.

    What is behind such a head can wait until there is time to parse it.
    """
    end = data.find(HEAD_END) + len(HEAD_END)
    if end < len(HEAD_END) or b"chunked" not in data[:end].lower():
        return len(data)
    return end


def _without_input(error: _ErrInfo) -> _ErrInfo:
    """Return *error* without what the caller has sent, which its message and traceback hold."""
    error.exc.__traceback__ = None
    message = error.message.partition("\n")[0][:MAX_ERROR_CHARS]
    return _ErrInfo(error.status, RejectedRequest(message), message)


class CallerProtocolServer(web.Server):
    """Creates the protocols of callers' connections.

    *keepalive_timeout* returns for how long a connection may be idle, and *head_timeout* how long a
    head may take, in seconds; *request_id* returns the id in the headers of a request.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        keepalive_timeout: Callable[[], float],
        head_timeout: Callable[[], float],
        **options: object,
    ) -> None:
        super().__init__(handler, **options)
        self._read_keepalive_timeout = keepalive_timeout
        self._read_head_timeout = head_timeout
        self._parsing = ParsingBudget()

    def __call__(self) -> CallerProtocol:
        return CallerProtocol(
            self,
            loop=self._loop,
            keepalive_timeout=self._read_keepalive_timeout(),
            head_timeout=HEAD_TIMEOUT_RATIO * self._read_head_timeout(),
            parsing=self._parsing,
            **self._kwargs,
        )
