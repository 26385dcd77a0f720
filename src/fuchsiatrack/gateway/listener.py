"""HTTP listener for callers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping

from aiohttp import web

from fuchsiatrack.callers.connectionbudget import ConnectionBudget
from fuchsiatrack.callers.connections import CallerConnections
from fuchsiatrack.callers.protocol import MAX_HEAD_BYTES, CallerProtocol
from fuchsiatrack.callers.responsememory import ResponseMemory
from fuchsiatrack.callers.responsewriter import write_response
from fuchsiatrack.gateway.forwarder import Exchange, ExchangeDependencies, Outcome
from fuchsiatrack.gateway.headers import BadRequest
from fuchsiatrack.gateway.settings import Endpoint
from fuchsiatrack.gateway.stoppolicy import StopDeadline
from fuchsiatrack.kernel.metrics import Metrics

# Longer than callers keep idle connections, so that callers close them first.
KEEPALIVE_TIMEOUT_S = 75.0
# The same where the operator allows callers to keep them for longer.
KEEPALIVE_RATIO = 1.25
# How often a stop looks for waiting requests that can't end before it.
LATE_CHECK_INTERVAL_MS = 50

log = logging.getLogger(__name__)


class CallerListener:
    """Accepts requests from callers; *memory* counts the responses that they haven't read yet."""

    def __init__(
        self,
        dependencies: ExchangeDependencies,
        metrics: Metrics,
        memory: ResponseMemory,
        budget: ConnectionBudget | None = None,
    ) -> None:
        self._memory = memory
        self._dependencies = dependencies
        self._metrics = metrics
        self._has_ended = False
        self._stop_deadline: StopDeadline | None = None
        self._late_check: asyncio.Task | None = None
        self._connections = CallerConnections(
            self._handle,
            self._keepalive_timeout_s,
            self._read_request_id,
            budget,
            self._head_timeout_s,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            # Bodies are forwarded as they come, and would take many times their size when decoded.
            auto_decompress=False,
        )
        # The requests in flight, by connection.
        self._exchanges: dict[CallerProtocol, Exchange] = {}

    async def start(self, endpoint: Endpoint) -> None:
        """Listen at *endpoint*."""
        await self._connections.open(endpoint.host, endpoint.port)

    def _keepalive_timeout_s(self) -> float:
        table = self._dependencies.table()
        allowed_ms = table.limits.idle_timeout if table is not None else 0
        return max(KEEPALIVE_TIMEOUT_S, KEEPALIVE_RATIO * allowed_ms / 1_000)

    def _head_timeout_s(self) -> float:
        table = self._dependencies.table()
        allowed_ms = table.limits.header_timeout if table is not None else 0
        return allowed_ms / 1_000 or self._keepalive_timeout_s()

    @property
    def in_flight(self) -> int:
        """How many requests are in flight."""
        return len(self._exchanges)

    @property
    def connection_count(self) -> int:
        """How many connections of callers are open."""
        return self._connections.count

    def start_draining(self, stop_deadline: StopDeadline | None = None) -> None:
        """Close each connection after the response to the last request that was read on it.

        Requests that wait or arrive and can't end before *stop_deadline* are rejected.
        """
        self._connections.start_draining()
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
        try:
            await self._connections.close(timeout, self._end_requests)
        finally:
            if self._late_check is not None:
                self._late_check.cancel()

    def _end_requests(self) -> None:
        """Answer the requests in flight: as not run if they have not been sent."""
        self._has_ended = True
        for exchange in tuple(self._exchanges.values()):
            exchange.end()

    def _read_request_id(self, headers: Mapping[str, str]) -> str:
        try:
            return self._dependencies.header_codec.parse_request(headers).request_id
        except BadRequest:
            return ""

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
        self._connections.prepare_response(request, response)
        await write_response(request, response, self._memory, self._metrics)
        return response

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
