"""The HTTP listener for callers."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable

from aiohttp import web

from fuchsiatrack.callers.connectionbudget import ConnectionBudget, budget_limits
from fuchsiatrack.callers.connections import CallerConnections
from fuchsiatrack.callers.kernelstate import descriptor_limit
from fuchsiatrack.callers.responsememory import ResponseMemory
from fuchsiatrack.callers.responsewriter import write_response
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.kernel.settings import RequestSettings
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.reports.levels import RequestCounts, ServiceLevelRecorder
from fuchsiatrack.routing.admission import Admission, AdmittedRequest
from fuchsiatrack.routing.errors import ErrorReason, RequestError
from fuchsiatrack.routing.exchange import Exchange, ExchangeDependencies
from fuchsiatrack.routing.headers import ORDER
from fuchsiatrack.routing.responses import TruncatedResponse

READY_PATH = "/-/ready"
KEEPALIVE_TIMEOUT_S = 30.0

log = logging.getLogger(__name__)


class CallerServer:
    """Serves callers: sends ``/SERVICE/PATH`` to a backend server of SERVICE as ``/PATH``.

    *dependencies_for* returns the dependencies of an exchange for a service, or raises
    RequestError.  `in_flight` is the number of requests that are being served.  The process may use
    *memory* bytes; *response_memory* counts the responses that callers haven't read yet.
    """

    def __init__(
        self,
        admission: Admission,
        dependencies_for: Callable[[str], ExchangeDependencies],
        levels: ServiceLevelRecorder,
        is_ready: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        settings: RequestSettings,
        response_memory: ResponseMemory,
        memory: int,
    ) -> None:
        self._admission = admission
        self._dependencies_for = dependencies_for
        self._levels = levels
        self._is_ready = is_ready
        self._clock = clock
        self._metrics = metrics
        self._settings = settings
        self._response_memory = response_memory
        self._draining = False
        self._has_ended = False
        self._connections = CallerConnections(
            self._handle,
            lambda: KEEPALIVE_TIMEOUT_S,
            lambda headers: headers.get(ORDER, ""),
            ConnectionBudget(budget_limits(memory, descriptor_limit()), metrics),
            max_line_size=settings.max_header,
            max_field_size=settings.max_header,
            # Bodies are forwarded as they come, and would take many times their size when decoded.
            auto_decompress=False,
        )
        # Each ends one exchange.
        self._timeouts: set[asyncio.Timeout] = set()
        self.in_flight = 0

    async def open(self, host: str, port: int) -> None:
        """Listen at *host* and *port*.

        Raises OSError.
        """
        await self._connections.open(host, port)

    def start_draining(self) -> None:
        """Report not ready, so that the external load balancer sends no new requests.

        Requests that still arrive are served.
        """
        self._draining = True
        self._connections.start_draining()

    async def stop(self, timeout: int) -> None:
        """Stop accepting connections, wait up to *timeout* ms for each to end, and close.

        Requests that are still in flight then are answered: as not run if they have not been sent.
        """
        await self._connections.close(timeout, self._end_requests)

    def _end_requests(self) -> None:
        self._has_ended = True
        for timeout in self._timeouts:
            timeout.reschedule(asyncio.get_running_loop().time())

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == READY_PATH:
            return self._readiness_response()
        self.in_flight += 1
        try:
            response = await self._serve(request)
        finally:
            self.in_flight -= 1
        self._connections.prepare_response(request, response)
        if not response.prepared:
            await write_response(request, response, self._response_memory, self._metrics)
        return response

    def _readiness_response(self) -> web.Response:
        is_ready = self._is_ready() and not self._draining
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = secrets.token_hex(8)
        arrived_at = self._clock.now() - request.protocol.queueing_time
        service, _, path = request.raw_path.lstrip("/").partition("/")
        service = service.partition("?")[0]
        admitted: AdmittedRequest | None = None
        try:
            if not self._is_ready():
                raise RequestError(ErrorReason.NOT_READY, retry_after_ms=1_000)
            length = request.content_length or 0
            admitted = self._admission.admit(
                request.method, service, request.headers, length, arrived_at
            )
            dependencies = self._dependencies_for(service)
            announce = self._connections.announce_end
            exchange = Exchange(request, "/" + path, admitted, request_id, dependencies, announce)
            response = await self._run(exchange)
        except RequestError as request_error:
            self._log_request_error(request_id, service, admitted, request_error)
            self._record_result(admitted, arrived_at, request_error)
            return request_error.to_response(request_id)
        except TruncatedResponse:
            request_error = RequestError(ErrorReason.TRUNCATED, Verdict.MAY_HAVE_RUN)
            self._log_request_error(request_id, service, admitted, request_error)
            self._record_result(admitted, arrived_at, request_error)
            # The caller's connection has been aborted, so this response is not delivered.
            return request_error.to_response(request_id)
        finally:
            if admitted:
                self._admission.release(admitted)
        self._record_result(admitted, arrived_at, None)
        return response

    async def _run(self, exchange: Exchange) -> web.StreamResponse:
        """Run *exchange* until `end_requests` at most."""
        try:
            async with asyncio.timeout(0 if self._has_ended else None) as timeout:
                self._timeouts.add(timeout)
                return await exchange.run()
        except TimeoutError:
            if exchange.verdict is Verdict.NOT_RUN:
                raise RequestError(ErrorReason.NOT_READY, retry_after_ms=1_000) from None
            raise RequestError(ErrorReason.CONNECTION, exchange.verdict) from None
        finally:
            self._timeouts.discard(timeout)

    def _record_result(
        self, admitted: AdmittedRequest | None, arrived_at: int, request_error: RequestError | None
    ) -> None:
        if admitted is None:
            self._metrics.count("requests.not_admitted")
            return
        elapsed = self._clock.now() - arrived_at
        within_objective = elapsed <= admitted.service.objectives.within
        counts = RequestCounts(
            sent=1,
            good=int(request_error is None and within_objective),
            refused=int(request_error is not None and request_error.verdict is Verdict.NOT_RUN),
            unsure=int(request_error is not None and request_error.verdict is Verdict.MAY_HAVE_RUN),
        )
        self._levels.record_outcome(admitted.service.name, admitted.caller.name, counts)
        self._metrics.time(f"requests.{admitted.service.name}", elapsed)

    def _log_request_error(
        self,
        request_id: str,
        service: str,
        admitted: AdmittedRequest | None,
        request_error: RequestError,
    ) -> None:
        fields = {
            "request_id": request_id,
            "service": service,
            "caller": admitted.caller.name if admitted else "",
            "reason": request_error.reason.code,
            "verdict": request_error.verdict.value,
        }
        log.info("request failed", extra=fields)
