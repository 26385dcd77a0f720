"""HTTP listener for callers."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from aiohttp import web

from fuchsiatrack.gateway.callerprotocol import (
    MAX_HEAD_BYTES,
    CallerProtocol,
    CallerProtocolServer,
)
from fuchsiatrack.gateway.forwarder import Exchange, ExchangeDependencies, Outcome
from fuchsiatrack.gateway.listeningsocket import ListeningSocket
from fuchsiatrack.gateway.responsememory import ResponseMemory, ResponseReceiver
from fuchsiatrack.gateway.settings import Endpoint
from fuchsiatrack.gateway.stoppolicy import StopDeadline
from fuchsiatrack.kernel.metrics import Metrics

# Longer than callers keep idle connections, so that callers close them first.
KEEPALIVE_TIMEOUT_S = 75.0
# The same where the operator allows callers to keep them for longer.
KEEPALIVE_RATIO = 1.25
# At a stop, connections stay open for this long after the listener is closed: one that was accepted
# just before has its first request still under way.
QUIET_PERIOD_MS = 300
# Longest wait until requests that are ended have been answered.
END_TIMEOUT_MS = 100
# How often a stop looks for connections that have become idle.
IDLE_CHECK_INTERVAL_MS = 20
# How often a stop looks for waiting requests that can't end before it.
LATE_CHECK_INTERVAL_MS = 50

log = logging.getLogger(__name__)


class _ResponseWriter(ResponseReceiver):
    """Holds a response until the caller on *connection* has read most of it."""

    def __init__(self, connection: web.RequestHandler) -> None:
        self._connection = connection

    def discard_response(self, reason: str) -> None:
        log.warning("response to a slow caller discarded", extra={"why": reason})
        if self._connection.transport is not None:
            # A response that ends early must not look complete.
            self._connection.transport.abort()


class CallerListener:
    """Accepts requests from callers; *memory* counts the responses that they haven't read yet."""

    def __init__(
        self, dependencies: ExchangeDependencies, metrics: Metrics, memory: ResponseMemory
    ) -> None:
        self._memory = memory
        self._dependencies = dependencies
        self._metrics = metrics
        self._is_draining = False
        self._has_ended = False
        self._stop_deadline: StopDeadline | None = None
        self._late_check: asyncio.Task | None = None
        self._server: CallerProtocolServer | None = None
        self._socket: ListeningSocket | None = None
        # The requests in flight, by connection.
        self._exchanges: dict[CallerProtocol, Exchange] = {}

    async def start(self, endpoint: Endpoint) -> None:
        """Listen at *endpoint*."""
        self._server = CallerProtocolServer(
            self._handle,
            self._keepalive_timeout_s,
            handler_cancellation=True,
            access_log=None,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            # Bodies are forwarded as they come, and would take many times their size when decoded.
            auto_decompress=False,
        )
        self._socket = ListeningSocket(self._server)
        await self._socket.open(endpoint)

    def _keepalive_timeout_s(self) -> float:
        table = self._dependencies.table()
        allowed_ms = table.limits.idle_timeout if table is not None else 0
        return max(KEEPALIVE_TIMEOUT_S, KEEPALIVE_RATIO * allowed_ms / 1_000)

    @property
    def in_flight(self) -> int:
        """How many requests are in flight."""
        return len(self._exchanges)

    @property
    def connection_count(self) -> int:
        """How many connections of callers are open."""
        return len(self._server.connections) if self._server else 0

    def start_draining(self, stop_deadline: StopDeadline | None = None) -> None:
        """Close each connection after the response to the last request that it has sent.

        Requests that wait or arrive and can't end before *stop_deadline* are rejected.
        """
        self._is_draining = True
        if stop_deadline is None:
            return
        self._stop_deadline = stop_deadline
        for exchange in tuple(self._exchanges.values()):
            exchange.start_stopping(stop_deadline)
        if self._late_check is None:
            self._late_check = asyncio.create_task(self._end_late_requests())

    async def _end_late_requests(self) -> None:
        """End waiting requests as time passes and their servers' times become known."""
        while True:
            await asyncio.sleep(LATE_CHECK_INTERVAL_MS / 1_000)
            for exchange in tuple(self._exchanges.values()):
                exchange.end_if_too_late()

    async def stop(self, timeout: int) -> None:
        """Stop accepting connections, wait up to *timeout* ms for each to end, and close.

        Requests that are still in flight then are answered by the daemon.
        """
        self._is_draining = True
        await self._socket.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout / 1_000):
                await asyncio.sleep(QUIET_PERIOD_MS / 1_000)
                await self._close_as_they_become_idle()
        await self._end_requests()
        for connection in tuple(self._server.connections):
            connection.abort("end of the grace period")
        # Lets the event loop report their ends.
        await asyncio.sleep(0)

    async def _close_as_they_become_idle(self) -> None:
        """Close idle connections until none is left.

        A request that arrives on one now might not finish in time.
        """
        while connections := tuple(self._server.connections):
            idle = [item for item in connections if item.is_idle]
            for connection in idle:
                connection.close_idle("idle at a stop")
            if idle:
                fields = {"closed": len(idle), "busy": len(connections) - len(idle)}
                log.info("idle connections closed", extra=fields)
            await asyncio.sleep(IDLE_CHECK_INTERVAL_MS / 1_000)

    async def _end_requests(self) -> None:
        """Answer what has arrived of requests: as not run if they have not been sent."""
        self._has_ended = True
        if self._late_check is not None:
            self._late_check.cancel()
        if not self.connection_count:
            return
        log.warning(
            "requests ended after the grace period",
            extra={"in_flight": self.in_flight, "connections": self.connection_count},
        )
        for exchange in tuple(self._exchanges.values()):
            exchange.end()
        for connection in tuple(self._server.connections):
            connection.reject_partial_head()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_TIMEOUT_MS / 1_000):
                await self._close_as_they_become_idle()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if connection.transport is None:
            raise ConnectionResetError("connection closed before the request was handled")
        exchange = self._exchanges[connection] = Exchange(request, self._dependencies)
        if self._stop_deadline is not None:
            exchange.start_stopping(self._stop_deadline)
        if self._has_ended:
            exchange.end()
        try:
            response = await exchange.run()
        except asyncio.CancelledError:
            log.info("caller disconnected", extra={"request_id": exchange.outcome.request_id})
            self._metrics.count("requests.left")
            raise
        finally:
            self._exchanges.pop(connection, None)
        self._record_outcome(exchange.outcome)
        if exchange.awaits_continue:
            # The caller doesn't send the body, and what it sends next would be taken for it.
            connection.expect_no_body()
            response.force_close()
        if self._is_draining and not connection.has_next:
            response.force_close()
        await self._write(request, response)
        return response

    async def _write(self, request: web.BaseRequest, response: web.Response) -> None:
        """Write *response*, which counts as held until it has left this process for the most."""
        writer = _ResponseWriter(request.protocol)
        self._memory.add(writer, len(response.body or b""))
        try:
            # A caller that has left is noticed by aiohttp as well.
            with contextlib.suppress(ConnectionError):
                await response.prepare(request)
                await response.write_eof()
        finally:
            self._memory.remove(writer)

    def _record_outcome(self, outcome: Outcome) -> None:
        self._metrics.count(f"requests.status.{outcome.status}")
        self._metrics.time("requests.latency", outcome.elapsed)
        fields = {
            "request_id": outcome.request_id,
            "route": outcome.route,
            "service": outcome.service,
            "server": outcome.server,
            "key": outcome.key,
            "sends": outcome.sends,
            "server_state": outcome.server_state,
            "unavailable_ms": outcome.unavailable_for,
            "sent_after_ms": outcome.sent_after,
            "status": outcome.status,
            "reason": outcome.reason,
            "verdict": outcome.verdict,
            "elapsed_ms": outcome.elapsed,
        }
        log.info("request finished", extra=fields)
