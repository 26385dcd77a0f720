"""Forwarding of one caller's request to a backend server, with retries."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import random
import traceback
from collections.abc import Callable, Iterator

from aiohttp import web

from fuchsiatrack.callers.kernelstate import has_left
from fuchsiatrack.callers.protocol import SOCKET_BUFFER_BYTES
from fuchsiatrack.callers.requestmemory import RequestMemory
from fuchsiatrack.callers.responsememory import ResponseMemory
from fuchsiatrack.coldstart.coldservers import ColdServers
from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry
from fuchsiatrack.gateway.admission import (
    AdmissionQueue,
    AdmissionQueues,
    QueuedRequest,
    affordable_wait,
    initial_limit,
)
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.failedresponse import FailedResponse
from fuchsiatrack.gateway.headers import BadRequest, HeaderCodec, RequestMetadata, ResponseMetadata
from fuchsiatrack.gateway.retrypolicy import FailedSend, retry_delay
from fuchsiatrack.gateway.sendwatch import SendWatch
from fuchsiatrack.gateway.serverconnection import (
    ConnectFailed,
    OutgoingRequest,
    RequestFailed,
    ServerConnection,
    ServerResponse,
)
from fuchsiatrack.gateway.serverselection import SelectionRequest, ServerSelector
from fuchsiatrack.gateway.serverstats import ServerStats, ServerStatsRegistry
from fuchsiatrack.gateway.stoppolicy import ServiceTime, StopDeadline
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.kernel.trafficcounter import TrafficCounter, TrafficPurpose
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.limits.backoff import ServerBackoff
from fuchsiatrack.limits.permits import LimitReached, PermitPool, Turn
from fuchsiatrack.limits.registry import LimitRegistry
from fuchsiatrack.limits.retrybudget import RetryBudget, RetryPermit
from fuchsiatrack.model.routes import Route, RoutedService, RouteTable
from fuchsiatrack.routing.errors import ErrorReason, RequestError
from fuchsiatrack.routing.requestbody import RequestBody

# Subtracted from the time that the caller allows for the wait for a server, and again from the time
# sent to the server, so that the response reaches the caller in time.
RESPONSE_MARGIN_MS = 8
# A request may seem to have arrived this much too early, as both the clock and the time for which
# it waited behind others are rounded down.
MAX_ARRIVAL_ERROR_MS = 1
# Idempotent requests use connections that have been idle for less than this.
IDEMPOTENT_MAX_IDLE_MS = 8_000
# Other requests use only connections that carried a response recently, since a request sent on an
# unresponsive connection may have run.
ORDER_MAX_IDLE_MS = 1_000
# Connections of each server kept free for grants, from the current leader and the previous one.
RESERVED_CONNECTIONS = 4
# Longest wait for an ownership change after a server reported that it doesn't own the key: a grant
# follows its record in the log within a few milliseconds.
OWNERSHIP_CHANGE_WAIT_MS = 60
# Sent to callers whose requests are rejected.
RETRY_AFTER_MS = 150
# A response that takes longer than this multiple of the mean service time counts as a rejection:
# some servers never respond to a request that they can't queue.
SILENCE_SERVICE_TIMES = 4.0
SILENCE_MIN_MS = 300
# A server that has closed a connection, or accepts no further one, resets it this soon after a
# request was sent.  Later resets come from servers that may be restarting.
QUICK_RESET_MAX_MS = 50
# A connection that takes longer to open may have waited for its server to come back.
SLOW_CONNECT_MS = 200

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ExchangeDependencies:
    """What every exchange uses.

    `find_selector` looks up by service; `body_idle_timeout` is in milliseconds.
    """

    header_codec: HeaderCodec
    clock: Clock
    rng: random.Random
    connections: ConnectionPool
    stats: ServerStatsRegistry
    queues: AdmissionQueues
    limits: LimitRegistry
    backoff: ServerBackoff
    cold_servers: ColdServers
    permits: PermitPool
    retry_budget: RetryBudget
    directory: ServerDirectory
    metrics: Metrics
    traffic: TrafficCounter
    table: Callable[[], RouteTable | None]
    is_ready: Callable[[], bool]
    find_selector: Callable[[RoutedService], ServerSelector]
    daemon_count: Callable[[], int]
    record_key: Callable[[str, int], None]
    record_misrouted: Callable[[], None]
    request_memory: RequestMemory
    response_memory: ResponseMemory
    send_watch: SendWatch
    body_idle_timeout: int


def connection_share(service: RoutedService, daemon_count: int) -> int:
    """Return one daemon's share of the connections that each server of *service* accepts."""
    return max(1, (service.max_connections - RESERVED_CONNECTIONS) // daemon_count)


class ResponseMismatch(RequestError):
    """The response belongs to another request, and the right one may still arrive."""


@dataclasses.dataclass
class Outcome:
    """Result of a request, for logs and metrics; times are in milliseconds.

    `server_state` is the state of the server's entry at the latest send, `unavailable_for` how long
    it had been draining or expired then, and `sent_after` the time since the request arrived.
    """

    request_id: str = ""
    route: str = ""
    service: str = ""
    server: str = ""
    sends: int = 0
    server_state: str = ""
    unavailable_for: int = 0
    sent_after: int = 0
    status: int = 0
    reason: str = ""
    verdict: str = ""
    elapsed: int = 0
    key: int | None = None


class Exchange:
    """One request and its response; `outcome` holds the result.  Times are in milliseconds."""

    def __init__(self, request: web.BaseRequest, dependencies: ExchangeDependencies) -> None:
        self._request = request
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._arrived_at = dependencies.clock.now() - request.protocol.queueing_time
        # Until when a request may wait for a server, and until when a server may work on it.
        self._deadline = self._work_deadline = 0
        self._excluded_servers: frozenset[str] = frozenset()
        self._tried_servers: set[str] = set()
        # Servers that had no room within their limits, and the error of the one with room first.
        self._limited_servers: frozenset[str] = frozenset()
        self._limit_error: RequestError | None = None
        # Whether the request waits for room, after no server has had room at once.
        self._waits_for_limit = False
        self._failed_connects = 0
        self._overloaded_queues = 0
        self._may_have_run = False
        # Whether an earlier send may have reached a server, so that the next one is a retry.
        self._has_arrived = False
        self._retry_permit: RetryPermit | None = None
        self._failed_response = FailedResponse(dependencies.response_memory)
        self._timeout: asyncio.Timeout | None = None
        self._is_stopping = False
        self._stop_deadline: StopDeadline | None = None
        # The selected server, until the request is sent to it.
        self._awaited_server: ServerEntry | None = None
        self._service: RoutedService | None = None
        self._body: RequestBody | None = None
        self.outcome = Outcome()

    async def run(self) -> web.Response:
        """Return the response of a server, or an error response."""
        try:
            response = await self._serve_in_time()
        except RequestError as request_error:
            # An error response of a server is more specific than one of the daemon.
            response = self._failed_response.take() or self._error_response(request_error)
        finally:
            self._put_back_retry_permit()
            self._failed_response.take()
            self._dependencies.request_memory.release(self._request.protocol)
        self.outcome.status = response.status
        self.outcome.elapsed = self._clock.now() - self._arrived_at
        return response

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller waits for a word of the daemon before it sends the body."""
        return self._expects_continue and self._request.can_read_body and self._body is None

    @property
    def _expects_continue(self) -> bool:
        return self._request.headers.get("Expect", "").lower() == "100-continue"

    def end(self) -> None:
        """Respond at once, as the daemon stops."""
        self._is_stopping = True
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def start_stopping(self, stop_deadline: StopDeadline) -> None:
        """Send the request from now on only if it can be expected to end in time."""
        self._stop_deadline = stop_deadline
        self.end_if_too_late()

    def end_if_too_late(self) -> None:
        """Respond at once if the request waits for a server and can't end before the stop."""
        if self._awaited_server is not None and not self._can_end(self._awaited_server):
            self.end()

    async def _serve_in_time(self) -> web.Response:
        """Serve the request until its deadline or `end`; raise RequestError then."""
        try:
            async with asyncio.timeout(0 if self._is_stopping else None) as self._timeout:
                return await self._serve()
        except TimeoutError:
            reason = ErrorReason.STOPPING if self._is_stopping else ErrorReason.DEADLINE
            verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
            retry_after_ms = RETRY_AFTER_MS if self._is_stopping else 0
            raise RequestError(reason, verdict, retry_after_ms) from None

    async def _serve(self) -> web.Response:
        request_metadata = self._parse_request()
        table = self._dependencies.table()
        if table is None or not self._dependencies.is_ready():
            raise RequestError(ErrorReason.NOT_READY, retry_after_ms=RETRY_AFTER_MS)
        host = self._request.headers.get("Host", "").partition(":")[0]
        path = self._request.raw_path.partition("?")[0]
        route = table.find(host, path)
        if route is None:
            raise RequestError(ErrorReason.NO_SERVICE)
        if route.error:
            raise RequestError(ErrorReason.BAD_ROUTE, retry_after_ms=RETRY_AFTER_MS)
        service = route.choose_service(self._dependencies.rng)
        self.outcome.route, self.outcome.service = route.name, service
        time_left = (
            route.timeout if request_metadata.time_left is None else request_metadata.time_left
        )
        self._deadline = self._arrived_at + min(time_left - RESPONSE_MARGIN_MS, route.timeout)
        self._work_deadline = (
            self._arrived_at + min(time_left, route.timeout) + MAX_ARRIVAL_ERROR_MS
        )
        if self._time_left <= 0:
            # Requests before this one on its connection have taken the time.
            raise RequestError(ErrorReason.DEADLINE)
        self._dependencies.retry_budget.record_request(service)
        # Kept for the whole request, since a newer configuration may remove the service.
        self._service = table.services[service]
        if self._service.keyed and request_metadata.key is not None:
            self._dependencies.record_key(service, request_metadata.key)
        self._set_timeout(self._deadline)
        await self._read_body(table.limits.max_body)
        return await self._send_with_retries(route, service, request_metadata)

    def _set_timeout(self, moment: int) -> None:
        """Serve the request until *moment* at most, unless the daemon stops."""
        if not self._is_stopping:
            time_left = max(moment - self._clock.now(), 0)
            self._timeout.reschedule(asyncio.get_running_loop().time() + time_left / 1_000)

    @property
    def _time_left(self) -> int:
        return self._deadline - self._clock.now()

    def _parse_request(self) -> RequestMetadata:
        try:
            request_metadata = self._dependencies.header_codec.parse_request(self._request.headers)
        except BadRequest as error:
            log.info("malformed request", extra={"why": str(error)})
            raise RequestError(ErrorReason.BAD_HEADER) from error
        self.outcome.request_id, self.outcome.key = (
            request_metadata.request_id,
            request_metadata.key,
        )
        return request_metadata

    async def _read_body(self, limit: int) -> None:
        length = self._request.content_length
        if length is not None and length > limit:
            raise RequestError(ErrorReason.TOO_LARGE)
        reserved = self._dependencies.request_memory.reserve(
            self._request.protocol,
            length if length is not None or self._request.can_read_body else 0,
        )
        if reserved is None:
            raise RequestError(ErrorReason.OVERLOADED, retry_after_ms=RETRY_AFTER_MS)
        if reserved > SOCKET_BUFFER_BYTES:
            self._request.protocol.expect_large_body()
        if self._expects_continue:
            self._request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._body = RequestBody(self._request, limit, self._dependencies.body_idle_timeout)
        await self._body.buffer_if_small()

    # Sending

    async def _send_with_retries(
        self, route: Route, service: str, request_metadata: RequestMetadata
    ) -> web.Response:
        selector = self._dependencies.find_selector(self._service)
        while True:
            try:
                selection_request = self._selection_request(service, request_metadata.key)
                entry = await selector.select(selection_request)
            except RequestError as request_error:
                if not self._limited_servers:
                    raise
                if self._waits_for_limit:
                    raise self._limit_error from request_error
                self._wait_for_limits()
                continue
            self.outcome.server = entry.id
            self._awaited_server = entry
            try:
                return await self._send(entry, route, request_metadata, selection_request)
            except RequestError as request_error:
                self._awaited_server = None
                # The traceback's frames refer to the response of the server.
                traceback.clear_frames(request_error.__traceback__)
                await self._prepare_retry(request_error, route, entry)
                if request_error.reason is ErrorReason.MOVED:
                    await selector.wait_for_change(selection_request, OWNERSHIP_CHANGE_WAIT_MS)

    def _selection_request(self, service: str, key: int | None) -> SelectionRequest:
        size = self._body.length or 0
        return SelectionRequest(service, key, size, self._deadline, self._excluded_servers)

    def _wait_for_limits(self) -> None:
        """Select among the servers without room as well, and wait for room at the next ones."""
        self._excluded_servers -= self._limited_servers
        self._limited_servers, self._limit_error = frozenset(), None
        self._waits_for_limit = True

    async def _prepare_retry(
        self, request_error: RequestError, route: Route, entry: ServerEntry
    ) -> None:
        """Return once the request may be sent again; raise *request_error* if it must not be."""
        outcome = self.outcome
        fields = {
            "request_id": outcome.request_id,
            "server": entry.id,
            "send": outcome.sends,
            "reason": request_error.reason.code,
            "verdict": request_error.verdict.value,
            "left_ms": self._time_left,
        }
        is_limited = request_error.reason in LIMIT_REASONS
        if not is_limited:
            log.info("send failed", extra=fields)
        self._overloaded_queues += request_error.reason is ErrorReason.OVERLOADED
        delay = retry_delay(self._failed_send(request_error, route, entry))
        if delay is None:
            raise request_error
        if request_error.reason is ErrorReason.STALE_ROUTE:
            # Nothing was sent; another server is selected.
            return
        if is_limited:
            self._exclude_limited(entry, request_error)
            return
        if request_error.reason is not ErrorReason.MOVED:
            self._excluded_servers |= {entry.id}
        if len(self._tried_servers) >= route.max_servers and entry.id in self._excluded_servers:
            raise request_error
        if self._has_arrived and not await self._acquire_retry_permit():
            raise request_error
        await self._clock.sleep(delay)

    async def _acquire_retry_permit(self) -> bool:
        """Return whether the request may be sent once more within the retry budget."""
        budget = self._dependencies.retry_budget
        if self._retry_permit is not None and budget.is_valid(self._retry_permit):
            return True
        self._put_back_retry_permit()
        self._retry_permit = await budget.acquire(self._service.name)
        return self._retry_permit is not None

    def _put_back_retry_permit(self) -> None:
        permit, self._retry_permit = self._retry_permit, None
        if permit is not None:
            self._dependencies.retry_budget.put_back(permit)

    def _exclude_limited(self, entry: ServerEntry, limit_error: RequestError) -> None:
        """Select the server of *entry* no more, as its limit leaves no room in time."""
        self._limited_servers |= {entry.id}
        self._excluded_servers |= {entry.id}
        errors = [item for item in (self._limit_error, limit_error) if item is not None]
        self._limit_error = min(errors, key=lambda item: item.retry_after_ms)

    def _failed_send(
        self, request_error: RequestError, route: Route, entry: ServerEntry
    ) -> FailedSend:
        stats = self._dependencies.stats.get(entry.id, entry.slots)
        return FailedSend(
            reason=request_error.reason,
            verdict=request_error.verdict,
            is_idempotent=route.idempotent,
            can_resend=self._body.can_resend,
            is_only_server=self._service.keyed,
            sends=self.outcome.sends,
            failed_connects=self._failed_connects,
            overloaded_queues=self._overloaded_queues,
            slots=stats.slots,
            service_time=stats.service_time,
            time_left=self._time_left,
        )

    async def _send(
        self,
        entry: ServerEntry,
        route: Route,
        request_metadata: RequestMetadata,
        selection_request: SelectionRequest,
    ) -> web.Response:
        """Send once; raise RequestError with the known verdict if there is no usable response."""
        stats = self._dependencies.stats.get(entry.id, entry.slots)
        queue = self._queue(entry)
        connection_share = self._connection_share()
        sends_before = self.outcome.sends
        self._check_stop(entry)
        turn = await self._acquire_turn(entry, route, stats)
        try:
            await queue.acquire(self._queued_request(route), connection_share, stats.service_time)
            try:
                if not self._may_send(turn, entry):
                    # Requests that have waited must not reach the server all at once.
                    turn = await self._acquire_turn(entry, route, stats)
                if self._has_arrived and not await self._acquire_retry_permit():
                    raise RequestError(ErrorReason.RETRY_BUDGET, retry_after_ms=RETRY_AFTER_MS)
                self._check_current(entry, selection_request, stats)
                self._check_caller()
                return await self._send_admitted(
                    entry, route, request_metadata, selection_request, connection_share, turn
                )
            finally:
                queue.release(stats.service_time)
        finally:
            if turn is not None and self.outcome.sends == sends_before:
                self._dependencies.permits.put_back(turn)

    async def _acquire_turn(
        self, entry: ServerEntry, route: Route, stats: ServerStats
    ) -> Turn | None:
        """Wait until the server of *entry* wants requests again, and for a turn within its limit.

        Raises RequestError at once if there is none in time.
        """
        max_delay = self._max_permit_delay(route, stats)
        pause = self._dependencies.backoff.remaining(entry.incarnation, self._clock.now())
        if pause > max_delay:
            raise self._backoff_error(pause, stats)
        await self._clock.sleep(pause)
        max_delay -= pause
        try:
            return await self._dependencies.permits.acquire(
                entry.incarnation, max_delay, route.priority
            )
        except LimitReached as error:
            raise RequestError(
                ErrorReason.SERVER_LIMIT, retry_after_ms=error.retry_after
            ) from error

    def _max_permit_delay(self, route: Route, stats: ServerStats) -> int:
        """Return how long the request may wait for room within the limit of its server, in ms."""
        if not self._service.keyed and not self._waits_for_limit:
            return 0
        queued_request = self._queued_request(route)
        return int(affordable_wait(queued_request, self._clock.now(), stats.service_time))

    def _queue(self, entry: ServerEntry) -> AdmissionQueue:
        daemon_count = self._dependencies.daemon_count()
        initial = initial_limit(self._service.keyed, entry.slots, daemon_count)
        return self._dependencies.queues.get(entry.id, initial)

    def _may_send(self, turn: Turn | None, entry: ServerEntry) -> bool:
        """Return whether a request with *turn* that has waited may still go to *entry*."""
        if self._dependencies.backoff.remaining(entry.incarnation, self._clock.now()):
            return False
        return self._dependencies.permits.is_valid(turn, entry.incarnation)

    def _check_current(
        self, entry: ServerEntry, selection_request: SelectionRequest, stats: ServerStats
    ) -> None:
        """Raise RequestError if *entry* may not get the request any more, or not now."""
        selector = self._dependencies.find_selector(self._service)
        if not selector.is_current(entry, selection_request):
            raise RequestError(ErrorReason.STALE_ROUTE, retry_after_ms=RETRY_AFTER_MS)
        pause = self._dependencies.backoff.remaining(entry.incarnation, self._clock.now())
        if pause:
            raise self._backoff_error(pause, stats)
        self._check_stop(entry)

    def _check_cold_start(self, turn: Turn | None, entry: ServerEntry, connect_time: int) -> None:
        """Raise RequestError if the server of *entry* is cold and *turn* doesn't hold there.

        Requests that wait for a server to come back would reach it all at once: one whose
        connection took *connect_time* milliseconds to open may have waited for that.
        """
        if connect_time > SLOW_CONNECT_MS:
            self._dependencies.cold_servers.record_failure(entry)
        is_cold = self._dependencies.limits.find_own(entry.incarnation) is not None
        if is_cold and not self._dependencies.permits.is_valid(turn, entry.incarnation):
            raise RequestError(ErrorReason.SERVER_LIMIT, retry_after_ms=RETRY_AFTER_MS)

    def _check_stop(self, entry: ServerEntry) -> None:
        """Raise RequestError if the daemon stops before the server of *entry* would respond."""
        if self._is_stopping or not self._can_end(entry):
            raise RequestError(ErrorReason.STOPPING, retry_after_ms=RETRY_AFTER_MS)

    def _can_end(self, entry: ServerEntry) -> bool:
        if self._stop_deadline is None:
            return True
        stats = self._dependencies.stats.get(entry.id, entry.slots)
        mean = stats.observed_service_time
        if mean is None:
            mean = stats.service_time
        return self._stop_deadline.leaves_time_for(
            self._arrived_at,
            self._deadline,
            self._clock.now(),
            ServiceTime(mean, stats.service_time_deviation),
        )

    def _check_caller(self) -> None:
        """Raise RequestError if the caller has left while a large body of its request waited."""
        if self._body.is_buffered or not has_left(self._request.transport):
            return
        if self._request.transport is not None:
            self._request.transport.abort()
        raise RequestError(ErrorReason.CALLER_LEFT)

    def _backoff_error(self, pause: int, stats: ServerStats) -> RequestError:
        retry_after = pause + self._time_to_room(stats)
        return RequestError(ErrorReason.SERVER_BACKOFF, retry_after_ms=retry_after)

    def _queued_request(self, route: Route) -> QueuedRequest:
        return QueuedRequest(route.priority, self._arrived_at + route.objective, self._deadline)

    def _connection_share(self) -> int:
        return connection_share(self._service, self._dependencies.daemon_count())

    async def _send_admitted(
        self,
        entry: ServerEntry,
        route: Route,
        request_metadata: RequestMetadata,
        selection_request: SelectionRequest,
        connection_share: int,
        turn: Turn | None,
    ) -> web.Response:
        dependencies = self._dependencies
        stats = dependencies.stats.get(entry.id, entry.slots)
        queue = self._queue(entry)
        max_idle = IDEMPOTENT_MAX_IDLE_MS if route.idempotent else ORDER_MAX_IDLE_MS
        if entry.id in self._tried_servers:
            # A late second copy of the previous response would pass for the next one.
            max_idle = 0
        settle = not route.idempotent or stats.resets_connections(self._clock.now())
        connection: ServerConnection | None = None
        stats.begin_request()
        started_at = self._clock.now()
        try:
            dependencies.connections.trim_idle(
                entry.id, entry.address, connection_share - queue.in_flight
            )
            connection = await dependencies.connections.acquire(
                entry.id, entry.address, max_idle, settle
            )
            try:
                # Opening a connection takes time.
                self._check_current(entry, selection_request, stats)
                self._check_cold_start(turn, entry, self._clock.now() - started_at)
                self._check_caller()
            except RequestError:
                dependencies.connections.release(entry.id, entry.address, connection)
                raise
            self._awaited_server = None
            self._record_send(entry)
            self._tried_servers.add(entry.id)
            with (
                self._silence_timer(entry),
                self._lost_server_watch(entry, route, selection_request, connection),
            ):
                response = await self._send_request(connection, entry)
        except ConnectFailed as error:
            self._failed_connects += 1
            if not error.was_opened:
                dependencies.cold_servers.record_failure(entry)
            queue.limit.record_rejection()
            stats.record_failure(self._clock.now())
            retry_after_ms = self._time_to_room(stats)
            raise RequestError(ErrorReason.CONNECTION, retry_after_ms=retry_after_ms) from error
        except RequestFailed as error:
            reset_after = self._clock.now() - started_at
            if not connection.bytes_received and reset_after > QUICK_RESET_MAX_MS:
                dependencies.cold_servers.record_failure(entry)
            if not connection.is_reused and not connection.bytes_received:
                stats.record_connection_reset(self._clock.now())
                queue.limit.record_rejection()
            stats.record_failure(self._clock.now())
            raise self._send_error(ErrorReason.CONNECTION, error.verdict) from error
        finally:
            stats.end_request()
        try:
            return self._check_response(
                response, connection, entry, route, request_metadata, started_at
            )
        except ResponseMismatch:
            connection.abort()
            raise
        finally:
            dependencies.connections.release(entry.id, entry.address, connection)

    def _time_to_room(self, stats: ServerStats) -> int:
        """Return when a server that is full is likely to have room, spread over its callers."""
        return int(stats.service_time * self._dependencies.rng.uniform(1.0, 2.0))

    @contextlib.contextmanager
    def _silence_timer(self, entry: ServerEntry) -> Iterator[None]:
        """Lower the limit of the server of *entry* once the response is overdue."""
        stats = self._dependencies.stats.get(entry.id, entry.slots)
        queue = self._queue(entry)
        patience = max(SILENCE_MIN_MS, SILENCE_SERVICE_TIMES * stats.service_time)
        timer = asyncio.get_running_loop().call_later(
            patience / 1_000, queue.limit.record_rejection
        )
        try:
            yield
        finally:
            timer.cancel()

    def _lost_server_watch(
        self,
        entry: ServerEntry,
        route: Route,
        selection_request: SelectionRequest,
        connection: ServerConnection,
    ) -> contextlib.AbstractContextManager[None]:
        """End the send if the server of *entry* is lost and the request may be sent again."""
        if not route.idempotent:
            return contextlib.nullcontext()
        selector = self._dependencies.find_selector(self._service)
        return self._dependencies.send_watch.watch(
            # A body that is streamed can be sent again only until its first part is read.
            lambda: self._body.can_resend and selector.is_lost(entry, selection_request),
            lambda: connection.discard_response("server lost"),
        )

    def _record_send(self, entry: ServerEntry) -> None:
        directory, outcome = self._dependencies.directory, self.outcome
        state = directory.state_of(entry).value
        outcome.sends += 1
        outcome.server_state = state
        outcome.unavailable_for = directory.unavailable_for(entry.id)
        outcome.sent_after = self._clock.now() - self._arrived_at
        self._dependencies.metrics.count(f"sends.to.{state}")
        stats = self._dependencies.stats.get(entry.id, entry.slots)
        if stats.load is not None:
            age = self._clock.now() - stats.load_reported_at
            self._dependencies.metrics.time("load_age", age)

    async def _send_request(
        self, connection: ServerConnection, entry: ServerEntry
    ) -> ServerResponse:
        time_left = self._time_left - RESPONSE_MARGIN_MS
        if time_left <= 0:
            connection.abort()
            raise RequestError(ErrorReason.DEADLINE)
        headers = self._dependencies.header_codec.request_headers(
            self._request.headers, time_left, entry.id
        )
        body = self._body.payload() or b""
        outgoing = OutgoingRequest(self._request.method, self._request.raw_path, headers, body)
        may_have_run_before, self._may_have_run = self._may_have_run, True
        has_arrived_before, self._has_arrived = self._has_arrived, True
        permit, self._retry_permit = self._retry_permit, None
        self._set_timeout(self._work_deadline)
        try:
            response = await connection.send_request(outgoing)
        except RequestFailed as error:
            if error.verdict is Verdict.NOT_RUN:
                # Nothing was sent.
                self._may_have_run = may_have_run_before
                self._has_arrived, self._retry_permit = has_arrived_before, permit
            raise
        finally:
            self._dependencies.traffic.add(
                TrafficPurpose.REQUEST,
                entry.failure_domain,
                connection.bytes_sent,
                connection.bytes_received,
            )
        response_metadata = self._dependencies.header_codec.parse_response(
            response.status, response.headers
        )
        if self._proves_not_run(response_metadata, connection):
            self._may_have_run = may_have_run_before
        return response

    def _proves_not_run(
        self, response_metadata: ResponseMetadata, connection: ServerConnection
    ) -> bool:
        """Return whether the response states that this request did not run.

        Without a request id it may belong to an earlier request on the same connection.
        """
        if not response_metadata.not_executed:
            return False
        if not response_metadata.request_id:
            return not connection.is_reused
        return response_metadata.request_id == self.outcome.request_id

    def _check_response(
        self,
        response: ServerResponse,
        connection: ServerConnection,
        entry: ServerEntry,
        route: Route,
        request_metadata: RequestMetadata,
        started_at: int,
    ) -> web.Response:
        """Return the response for the caller; raise RequestError if it must not be relayed."""
        dependencies, now = self._dependencies, self._clock.now()
        elapsed = now - started_at
        stats = dependencies.stats.get(entry.id, entry.slots)
        response_metadata = dependencies.header_codec.parse_response(
            response.status, response.headers
        )
        if response_metadata.load is not None:
            stats.record_load(response_metadata.load, now)
        if response_metadata.states_load:
            is_read = response_metadata.load is not None
            dependencies.metrics.count("loads.read" if is_read else "loads.dropped")
        queue = self._queue(entry)
        self._record_notices(entry, response_metadata, started_at)
        if self._proves_not_run(response_metadata, connection):
            if response_metadata.misrouted:
                raise self._misrouted_error(entry, response_metadata)
            queue.limit.record_rejection()
            stats.record_response(elapsed, False, now)
            raise RequestError(ErrorReason.SHED, retry_after_ms=self._time_to_room(stats))
        if response_metadata.request_id != request_metadata.request_id:
            stats.record_failure(now)
            raise ResponseMismatch(ErrorReason.RESPONSE_MISMATCH, Verdict.MAY_HAVE_RUN)
        if not response_metadata.has_server_signature and response.status < 400:
            stats.record_failure(now)
            raise self._send_error(ErrorReason.TRUNCATED, Verdict.MAY_HAVE_RUN)
        stats.record_response(elapsed, response.status < 500, now)
        queue.limit.record_response(response_metadata.load, self._connection_share())
        # With fewer sends than `max_servers`, fewer servers than that have been tried, so that a
        # retry may go to another one.
        if response.status >= 500 and route.idempotent and self.outcome.sends < route.max_servers:
            self._failed_response.keep(self._relay_response(response))
            raise self._send_error(ErrorReason.SERVER_ERROR, Verdict.RAN)
        return self._relay_response(response)

    def _record_notices(
        self, entry: ServerEntry, response_metadata: ResponseMetadata, sent_at: int
    ) -> None:
        """Record what the server of *entry* says of itself in a response of its own."""
        is_own = response_metadata.responding_server in ("", entry.id)
        if not is_own or response_metadata.request_id != self.outcome.request_id:
            return
        dependencies, now = self._dependencies, self._clock.now()
        dependencies.cold_servers.record_response(entry, sent_at, response_metadata.cold_for)
        if response_metadata.leaving:
            dependencies.directory.record_leaving(entry.incarnation)
        if response_metadata.backoff is not None:
            dependencies.backoff.record(entry.incarnation, response_metadata.backoff, now)
            dependencies.metrics.count("servers.backoff")
        if response_metadata.limit is not None:
            dependencies.limits.record_response(
                entry.incarnation, response_metadata.limit.rate, sent_at, now
            )

    def _misrouted_error(
        self, entry: ServerEntry, response_metadata: ResponseMetadata
    ) -> RequestError:
        """Return the error for a request that a server rejected as belonging to another one."""
        if response_metadata.responding_server not in ("", entry.id):
            self._dependencies.directory.record_address_conflict(entry)
            return RequestError(ErrorReason.WRONG_SERVER, retry_after_ms=RETRY_AFTER_MS)
        self._dependencies.record_misrouted()
        return RequestError(ErrorReason.MOVED, retry_after_ms=RETRY_AFTER_MS)

    def _send_error(self, reason: ErrorReason, verdict: Verdict) -> RequestError:
        return RequestError(reason, verdict, retry_after_ms=RETRY_AFTER_MS)

    def _relay_response(self, response: ServerResponse) -> web.Response:
        if response.status in NOT_EXECUTED_STATUSES:
            # The request ran or may have run, but this status states that it did not.
            raise RequestError(ErrorReason.SERVER_ERROR, Verdict.MAY_HAVE_RUN)
        headers = self._dependencies.header_codec.response_headers(response.headers)
        self.outcome.verdict = Verdict.RAN.value
        return web.Response(
            status=response.status, reason=response.reason, headers=headers, body=response.body
        )

    def _error_response(self, request_error: RequestError) -> web.Response:
        if self._may_have_run:
            # The verdict of the last send doesn't cover earlier sends.
            request_error.verdict = Verdict.MAY_HAVE_RUN
        self.outcome.reason = request_error.reason.code
        self.outcome.verdict = request_error.verdict.value
        retry_after_ms = (
            request_error.retry_after_ms if request_error.verdict is Verdict.NOT_RUN else 0
        )
        headers = self._dependencies.header_codec.error_headers(
            self.outcome.request_id, retry_after_ms
        )
        return web.Response(
            status=request_error.final_status, headers=headers, text=request_error.reason.code
        )


# Reasons for which a request isn't sent to a server that has no room for it now.
LIMIT_REASONS = frozenset((ErrorReason.SERVER_LIMIT, ErrorReason.SERVER_BACKOFF))
# Statuses that tell the caller that its request did not and will not run.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
