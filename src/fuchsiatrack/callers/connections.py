"""The listener for callers, and the end of their connections at a stop."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web

from fuchsiatrack.callers.connectionbudget import BudgetLimits, ConnectionBudget
from fuchsiatrack.callers.listeningsocket import ListeningSocket
from fuchsiatrack.callers.protocol import CallerProtocolServer
from fuchsiatrack.kernel.metrics import NullMetrics

# At a stop, connections stay open for this long after the listener is closed: one that was accepted
# just before has its first request still under way.
QUIET_PERIOD_MS = 300
# Longest wait until requests that are ended have been answered.
END_TIMEOUT_MS = 100
# How often a stop looks for connections that have become idle.
IDLE_CHECK_INTERVAL_MS = 20

log = logging.getLogger(__name__)


class CallerConnections:
    """Accepts connections of callers, and ends them without losing a request that was read.

    *handler* responds to a request, *keepalive_timeout* returns for how long a new connection may
    be idle, in seconds, and *request_id* the id in the headers of a request, for logs.  *budget*
    bounds what they take together; *head_timeout* returns how long a head may take, in seconds.
    *options* are those of aiohttp's server.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        keepalive_timeout: Callable[[], float],
        request_id: Callable[[Mapping[str, str]], str],
        budget: ConnectionBudget | None = None,
        head_timeout: Callable[[], float] | None = None,
        **options: object,
    ) -> None:
        self._server = CallerProtocolServer(
            handler,
            keepalive_timeout,
            head_timeout or keepalive_timeout,
            request_id=request_id,
            budget=budget or ConnectionBudget(BudgetLimits(), NullMetrics()),
            handler_cancellation=True,
            access_log=None,
            **options,
        )
        self._socket = ListeningSocket(self._server)
        self._is_draining = False

    @property
    def count(self) -> int:
        """How many connections are open."""
        return len(self._server.connections)

    async def open(self, host: str, port: int) -> None:
        """Listen at *host* and *port*.

        Raises OSError.
        """
        await self._socket.open(host, port)

    def start_draining(self) -> None:
        """Let each connection end with its next response."""
        self._is_draining = True

    def announce_end(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Let *response*, whose head hasn't been written, end its connection if the daemon drains.

        Requests behind a response that announces the end count as not read: their callers send them
        again, to a daemon that goes on.
        """
        if self._is_draining and not response.prepared:
            response.force_close()
            request.protocol.ignore_following()

    def prepare_response(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Let *response* end its connection if the daemon drains, as `announce_end` does.

        What still arrives of the request's body is discarded, and the connection ends if the body
        is chunked.
        """
        if request.protocol.discard_body(request):
            response.force_close()
        self.announce_end(request, response)

    async def close(self, timeout: int, end_requests: Callable[[], None]) -> None:
        """Stop accepting connections, and wait up to *timeout* milliseconds for each to end.

        Then call *end_requests*, which has the requests in flight answered, and end the others.
        """
        self._is_draining = True
        close_at = asyncio.get_running_loop().time() + timeout / 1_000
        await self._socket.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(close_at):
                await asyncio.sleep(QUIET_PERIOD_MS / 1_000)
                await self._close_as_they_become_idle()
        if self.count:
            await self._end(end_requests)

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

    async def _end(self, end_requests: Callable[[], None]) -> None:
        log.warning("requests ended after the grace period", extra={"connections": self.count})
        end_requests()
        for connection in tuple(self._server.connections):
            connection.reject_partial_head()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_TIMEOUT_MS / 1_000):
                await self._close_as_they_become_idle()
        for connection in tuple(self._server.connections):
            connection.abort("end of the grace period")
        # Lets the event loop report their ends.
        await asyncio.sleep(0)
