"""HTTP listener for callers."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from aiohttp import web

from fuchsiatrack.gateway.callerprotocol import MAX_HEAD_BYTES, CallerProtocolServer
from fuchsiatrack.gateway.forwarder import Exchange, ExchangeDependencies, Outcome
from fuchsiatrack.gateway.listeningsocket import ListeningSocket
from fuchsiatrack.gateway.responsememory import ResponseMemory, ResponseReceiver
from fuchsiatrack.gateway.settings import Endpoint
from fuchsiatrack.kernel.metrics import Metrics

# Longer than callers keep idle connections, so that callers close them first.
KEEPALIVE_TIMEOUT_S = 75.0
# At a stop, connections stay open for this long after the listener is closed: one that was accepted
# just before has its first request still under way.
QUIET_PERIOD_MS = 300
# Longest wait until requests that are ended have been answered.
END_TIMEOUT_MS = 100

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
        self._all_idle = asyncio.Event()
        self._all_idle.set()
        self._socket: ListeningSocket | None = None
        self._server: web.Server | None = None
        # The requests in flight, by connection.
        self._exchanges: dict[web.RequestHandler, Exchange] = {}

    async def start(self, endpoint: Endpoint) -> None:
        """Listen at *endpoint*."""
        self._server = CallerProtocolServer(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            # Bodies are forwarded as they come, and would take many times their size when decoded.
            auto_decompress=False,
        )
        self._socket = ListeningSocket(self._server)
        await self._socket.open(endpoint)

    @property
    def in_flight(self) -> int:
        """How many requests are in flight."""
        return len(self._exchanges)

    @property
    def connection_count(self) -> int:
        """How many connections of callers are open."""
        return len(self._server.connections) if self._server else 0

    def start_draining(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True

    async def stop(self, timeout: int) -> None:
        """Stop accepting connections, wait up to *timeout* ms for requests, and close.

        Requests that are still in flight then are answered by the daemon.
        """
        await self._socket.close()
        try:
            async with asyncio.timeout(timeout / 1_000):
                await asyncio.sleep(QUIET_PERIOD_MS / 1_000)
                await self._close_idle()
                await self._all_idle.wait()
        except TimeoutError:
            await self._end_requests()
        # Responses that were just written may not have been sent yet.
        await asyncio.sleep(0.05)
        # Requests have been awaited, so that this waits for none.
        await self._server.shutdown()

    async def _end_requests(self) -> None:
        """Answer the requests in flight: as not run if they have not been sent."""
        log.warning("requests ended after the grace period", extra={"in_flight": self.in_flight})
        for exchange in tuple(self._exchanges.values()):
            exchange.end()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_TIMEOUT_MS / 1_000):
                await self._all_idle.wait()

    async def _close_idle(self) -> None:
        """Close idle connections; a request arriving on one now might not finish in time."""
        # The first pause lets the event loop read what has arrived, the second one lets the
        # handlers of requests in it begin.
        for _ in range(2):
            await asyncio.sleep(0)
        idle = [item for item in self._server.connections if item not in self._exchanges]
        for connection in idle:
            connection.close_idle("idle at a stop")
        log.info(
            "idle connections closed",
            extra={"closed": len(idle), "busy": len(self._exchanges)},
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if connection.transport is None:
            raise ConnectionResetError("connection closed before the request was handled")
        exchange = self._exchanges[connection] = Exchange(request, self._dependencies)
        self._all_idle.clear()
        try:
            response = await exchange.run()
        except asyncio.CancelledError:
            log.info("caller disconnected", extra={"request_id": exchange.outcome.request_id})
            self._metrics.count("requests.left")
            raise
        finally:
            self._exchanges.pop(connection, None)
            if not self._exchanges:
                self._all_idle.set()
        self._record_outcome(exchange.outcome)
        if exchange.awaits_continue:
            # The caller doesn't send the body, and what it sends next would be taken for it.
            connection.expect_no_body()
            response.force_close()
        if self._is_draining:
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
