"""One caller's request from admission to response: server selection, sends, retries, orders."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import random
import secrets
from collections.abc import Callable

from aiohttp import web

from fuchsiatrack.callers.protocol import SOCKET_BUFFER_BYTES
from fuchsiatrack.callers.requestmemory import RequestMemory
from fuchsiatrack.callers.responsememory import ResponseMemory
from fuchsiatrack.control.orders import BeginResult, OrderDeduplicator
from fuchsiatrack.control.records import Attempt
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.routing import headers
from fuchsiatrack.routing.admission import AdmittedRequest
from fuchsiatrack.routing.connectionpool import (
    BackendConnectionPool,
    OutgoingRequest,
    ResponseReceived,
    SendFailure,
    Target,
)
from fuchsiatrack.routing.errors import ErrorReason, RequestError
from fuchsiatrack.routing.loadbalancer import LoadBalancer
from fuchsiatrack.routing.ownerresolver import OwnerResolver
from fuchsiatrack.routing.requestbody import STREAMED_SOCKET_BUFFER_BYTES, RequestBody
from fuchsiatrack.routing.responses import TruncatedResponse, relay
from fuchsiatrack.routing.retries import RetryBudget, backoff

# Longest wait of an order for the log if the server itself rejects repeated orders.
ORDER_LOG_TIMEOUT_MS = 400
# Limit of the sends of one request, even if time is left until its deadline.
MAX_SENDS = 40


class ServerSelector(abc.ABC):
    """Selects the server for each send of a request."""

    @abc.abstractmethod
    async def select(self, admitted: AdmittedRequest, avoid: frozenset[str]) -> Target:
        """Return the target of the next send, not one of *avoid* if there is a choice.

        Raises RequestError if there is no target before the request's deadline.
        """

    @abc.abstractmethod
    def request_started(self, target: Target) -> None:
        """Count a send that is about to begin."""

    @abc.abstractmethod
    def request_finished(self, target: Target, latency: int, verdict: Verdict) -> None:
        """Count the end of a send; *latency* is in milliseconds."""

    def register_timeout(self, target: Target, timeout: asyncio.Timeout) -> None:
        """Expire the *timeout* of an idempotent send once the key's partition is reassigned."""

    def unregister_timeout(self, target: Target, timeout: asyncio.Timeout) -> None:
        """Undo `register_timeout`."""

    def is_reassigned(self, target: Target) -> bool:
        """Return whether the key's partition was reassigned after *target* was selected."""
        return False


class OwnerSelector(ServerSelector):
    """Selects the owner of the request's key."""

    def __init__(self, owner_resolver: OwnerResolver) -> None:
        self._owner_resolver = owner_resolver

    async def select(self, admitted: AdmittedRequest, avoid: frozenset[str]) -> Target:
        return await self._owner_resolver.resolve(admitted.key, admitted.deadline)

    def request_started(self, target: Target) -> None:
        self._owner_resolver.request_started(target)

    def request_finished(self, target: Target, latency: int, verdict: Verdict) -> None:
        self._owner_resolver.request_finished(target, verdict is Verdict.MAY_HAVE_RUN)

    def register_timeout(self, target: Target, timeout: asyncio.Timeout) -> None:
        self._owner_resolver.register_timeout(target, timeout)

    def unregister_timeout(self, target: Target, timeout: asyncio.Timeout) -> None:
        self._owner_resolver.unregister_timeout(target, timeout)

    def is_reassigned(self, target: Target) -> bool:
        return self._owner_resolver.is_reassigned(target)


class BalancedSelector(ServerSelector):
    """Selects any server of the service by its balancing policy."""

    def __init__(self, load_balancer: LoadBalancer) -> None:
        self._load_balancer = load_balancer

    async def select(self, admitted: AdmittedRequest, avoid: frozenset[str]) -> Target:
        return self._load_balancer.select(avoid)

    def request_started(self, target: Target) -> None:
        self._load_balancer.request_started(target)

    def request_finished(self, target: Target, latency: int, verdict: Verdict) -> None:
        self._load_balancer.request_finished(target, latency, verdict is not Verdict.RAN)


@dataclasses.dataclass(frozen=True)
class ExchangeDependencies:
    """Dependencies of an exchange; `body_idle_timeout` is in milliseconds."""

    selector: ServerSelector
    connection_pool: BackendConnectionPool
    deduplicator: OrderDeduplicator
    budget: RetryBudget
    clock: Clock
    metrics: Metrics
    rng: random.Random
    body_idle_timeout: int
    request_memory: RequestMemory
    response_memory: ResponseMemory


class Exchange:
    """Serves one admitted request.

    *path* is the path and query that the server receives.  *announce* may change the head of a
    response that is streamed.  Times are in milliseconds.
    """

    def __init__(
        self,
        request: web.Request,
        path: str,
        admitted: AdmittedRequest,
        request_id: str,
        dependencies: ExchangeDependencies,
        announce: Callable[[web.BaseRequest, web.StreamResponse], None],
    ) -> None:
        self._request = request
        self._announce = announce
        self._path = path
        self._admitted = admitted
        self._request_id = request_id
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._body = RequestBody(request, admitted.service.max_body, dependencies.body_idle_timeout)
        self._avoid: frozenset[str] = frozenset()
        self._sends = 0
        self._may_have_run = False
        self._attempt: Attempt | None = None

    async def run(self) -> web.StreamResponse:
        """Return the server's response.

        Raises RequestError if the request ends without one, and TruncatedResponse if it broke off
        after part of it may have reached the caller.
        """
        memory, connection = self._dependencies.request_memory, self._request.protocol
        length = self._request.content_length if self._request.can_read_body else 0
        reserved = memory.reserve(connection, length)
        if reserved is None:
            raise RequestError(ErrorReason.OVERLOADED, retry_after_ms=1_000)
        if reserved > SOCKET_BUFFER_BYTES:
            connection.expect_large_body(STREAMED_SOCKET_BUFFER_BYTES)
        try:
            await self._body.buffer_if_small()
            return await self._serve()
        finally:
            memory.release(connection)

    async def _serve(self) -> web.StreamResponse:
        target = await self._select()
        try:
            await self._begin_order(target)
            return await self._send_until_response(target)
        except RequestError as request_error:
            if self._may_have_run:
                # The verdict of the last send does not cover the earlier ones.
                request_error.verdict = Verdict.MAY_HAVE_RUN
            if self._attempt and request_error.verdict is Verdict.NOT_RUN:
                self._dependencies.deduplicator.release(self._attempt)
            raise
        except asyncio.CancelledError:
            # The caller has disconnected, or the daemon stops.  An order that was never sent has
            # not run.
            if self._attempt and not self._sends:
                self._dependencies.deduplicator.release(self._attempt)
            raise

    @property
    def verdict(self) -> Verdict:
        """What is known of the request if it ends now without a response."""
        return Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN

    @property
    def _time_left(self) -> int:
        return self._admitted.deadline - self._clock.now()

    async def _select(self) -> Target:
        return await self._dependencies.selector.select(self._admitted, self._avoid)

    # Orders

    async def _begin_order(self, target: Target) -> None:
        """Record the order, and raise RequestError if any daemon has begun it before."""
        admitted = self._admitted
        if admitted.idempotent or not admitted.order:
            return
        # Only in a keyed service (fence > 0) does a repeated order reach the same server; another
        # server may not know its id.
        caller, server_deduplicates = (
            admitted.caller.name,
            admitted.service.deduplicates and target.fence > 0,
        )
        attempt = Attempt(caller, admitted.order, secrets.token_hex(8), target.fence)
        log_timeout = (
            min(self._time_left, ORDER_LOG_TIMEOUT_MS) if server_deduplicates else self._time_left
        )
        self._attempt = attempt
        begin_result = await self._dependencies.deduplicator.begin(attempt, log_timeout)
        if begin_result is BeginResult.REPEAT:
            self._attempt = None
            known_attempt = self._dependencies.deduplicator.find(caller, admitted.order)
            same_owner = known_attempt is not None and known_attempt.fence == target.fence
            if not (server_deduplicates and same_owner):
                raise RequestError(ErrorReason.REPEATED_ORDER, Verdict.MAY_HAVE_RUN)
        elif begin_result is BeginResult.UNSETTLED and not server_deduplicates:
            raise RequestError(ErrorReason.ORDER_LOG_UNAVAILABLE, retry_after_ms=2_000)

    # Sends

    async def _send_until_response(self, target: Target) -> web.StreamResponse:
        self._dependencies.budget.deposit()
        while True:
            outcome = await self._send(target)
            if not isinstance(outcome, SendFailure):
                return outcome
            await self._prepare_resend(outcome, target)
            target = await self._select()

    async def _send(self, target: Target) -> web.StreamResponse | SendFailure:
        timeouts: list[asyncio.Timeout] = []
        outgoing = self._outgoing_request(target, timeouts)
        if outgoing.timeout_ms <= 0:
            return SendFailure(Verdict.NOT_RUN, ErrorReason.DEADLINE)
        started, verdict = self._clock.now(), Verdict.MAY_HAVE_RUN
        self._sends += 1
        self._dependencies.selector.request_started(target)
        try:
            outcome = await self._dependencies.connection_pool.send(target, outgoing)
            if isinstance(outcome, ResponseReceived):
                outcome = await self._relay(outcome)
            verdict = outcome.verdict if isinstance(outcome, SendFailure) else Verdict.RAN
            if verdict is not Verdict.RAN and timeouts and self._is_reassigned(target):
                return SendFailure(verdict, ErrorReason.MOVED)
            return outcome
        finally:
            for timeout in timeouts:
                self._dependencies.selector.unregister_timeout(target, timeout)
            self._may_have_run |= verdict is Verdict.MAY_HAVE_RUN
            self._dependencies.selector.request_finished(
                target, self._clock.now() - started, verdict
            )

    def _is_reassigned(self, target: Target) -> bool:
        return self._dependencies.selector.is_reassigned(target)

    async def _relay(self, received: ResponseReceived) -> web.StreamResponse | SendFailure:
        try:
            return await relay(
                self._request,
                received.response,
                self._request_id,
                max(self._time_left, 1),
                self._dependencies.response_memory,
                self._dependencies.metrics,
                self._announce,
            )
        except TruncatedResponse as error:
            self._dependencies.metrics.count("answers.truncated")
            if error.relay_started:
                raise
            return SendFailure(Verdict.MAY_HAVE_RUN, ErrorReason.TRUNCATED)

    async def _prepare_resend(self, outcome: SendFailure, target: Target) -> None:
        """Wait until the request may be sent again; raise RequestError if it may not be."""
        self._dependencies.metrics.count(f"sends.{outcome.reason.code}")
        if self._body.failure:
            raise self._body.failure
        request_error = RequestError(outcome.reason, outcome.verdict, retry_after_ms=1_000)
        is_retryable = outcome.verdict.is_safe_to_retry or self._admitted.idempotent
        if not is_retryable or not self._body.can_resend:
            raise request_error
        delay = backoff(min(self._sends, 6), self._dependencies.rng)
        if self._time_left <= delay or self._sends >= MAX_SENDS:
            raise request_error
        # Resends that wait for the right owner add no load to any server.
        if (
            outcome.reason not in (ErrorReason.NO_OWNER, ErrorReason.MOVED)
            and not self._dependencies.budget.try_acquire()
        ):
            raise request_error
        self._avoid |= {target.server}
        await asyncio.sleep(delay / 1_000)

    def _outgoing_request(self, target: Target, timeouts: list[asyncio.Timeout]) -> OutgoingRequest:
        def register_timeout(timeout: asyncio.Timeout) -> None:
            if self._admitted.idempotent and self._body.can_resend:
                timeouts.append(timeout)
                self._dependencies.selector.register_timeout(target, timeout)

        send_id = f"{self._request_id}-{self._sends}"
        time_left = self._time_left
        outgoing_headers = {
            name: value
            for name, value in self._request.headers.items()
            if name.lower() not in headers.NOT_FORWARDED
        }
        outgoing_headers[headers.REQUEST_ID] = send_id
        outgoing_headers[headers.CALLER] = self._admitted.caller.name
        outgoing_headers[headers.DEADLINE] = str(time_left)
        if self._admitted.key:
            outgoing_headers[headers.KEY] = self._admitted.key
        if self._admitted.order:
            outgoing_headers[headers.ORDER] = self._admitted.order
        if target.partition:
            outgoing_headers[headers.PARTITION] = target.partition
            outgoing_headers[headers.FENCE] = str(target.fence)
        if self._body.length is not None:
            outgoing_headers["Content-Length"] = str(self._body.length)
        return OutgoingRequest(
            self._request.method,
            self._path,
            outgoing_headers,
            self._body.payload(),
            send_id,
            self._admitted.idempotent,
            time_left,
            register_timeout,
        )
