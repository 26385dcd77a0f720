"""One caller's request from admission to answer: choice of server, sends, retries, orders."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import random
import secrets

from aiohttp import web

from fuchsiatrack.control.orders import BeginResult, OrderDeduplicator
from fuchsiatrack.control.records import Attempt
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.routing import headers
from fuchsiatrack.routing.admission import Admitted
from fuchsiatrack.routing.connectionpool import (
    Answered,
    BackendConnectionPool,
    Failed,
    Sending,
    Target,
)
from fuchsiatrack.routing.errors import ErrorReason, RequestError
from fuchsiatrack.routing.loadbalancer import LoadBalancer
from fuchsiatrack.routing.ownerresolver import OwnerResolver
from fuchsiatrack.routing.requestbody import RequestBody
from fuchsiatrack.routing.responses import TruncatedAnswer, relay
from fuchsiatrack.routing.retries import RetryBudget, backoff

# How long an order waits for the log where the server itself refuses repeats.
ORDER_LOG_WAIT = 400
# Sends of one request, however much of its time is left.
MAX_SENDS = 40


class ServerSelector(abc.ABC):
    """Chooses where a request is sent."""

    @abc.abstractmethod
    async def select(self, admitted: Admitted, avoid: frozenset[str]) -> Target:
        """Return the target of the next send; raise RequestError when there is none in time."""

    @abc.abstractmethod
    def request_started(self, target: Target) -> None:
        """Count a send."""

    @abc.abstractmethod
    def request_finished(self, target: Target, latency: int, verdict: Verdict) -> None:
        """Count the end of a send; *latency* in milliseconds."""

    def watch(self, target: Target, scope: asyncio.Timeout) -> None:
        """Take in the scope of an idempotent attempt, to end it when it has become useless."""

    def unwatch(self, target: Target, scope: asyncio.Timeout) -> None:
        """Forget a scope that `watch` took in."""

    def is_superseded(self, target: Target) -> bool:
        """Tell whether the request should have gone elsewhere by now."""
        return False


class OwnerSelector(ServerSelector):
    """The owner of the request's key."""

    def __init__(self, owner_resolver: OwnerResolver) -> None:
        self._owner_resolver = owner_resolver

    async def select(self, admitted: Admitted, avoid: frozenset[str]) -> Target:
        return await self._owner_resolver.locate(admitted.key, admitted.deadline)

    def request_started(self, target: Target) -> None:
        self._owner_resolver.request_started(target)

    def request_finished(self, target: Target, latency: int, verdict: Verdict) -> None:
        self._owner_resolver.request_finished(target, verdict is Verdict.MAY_HAVE_RUN)

    def watch(self, target: Target, scope: asyncio.Timeout) -> None:
        self._owner_resolver.watch(target, scope)

    def unwatch(self, target: Target, scope: asyncio.Timeout) -> None:
        self._owner_resolver.unwatch(target, scope)

    def is_superseded(self, target: Target) -> bool:
        return self._owner_resolver.is_superseded(target)


class BalancedSelector(ServerSelector):
    """Any server of the service, by the service's balancing policy."""

    def __init__(self, pool: LoadBalancer) -> None:
        self._load_balancer = pool

    async def select(self, admitted: Admitted, avoid: frozenset[str]) -> Target:
        return self._load_balancer.choose(avoid)

    def request_started(self, target: Target) -> None:
        self._load_balancer.request_started(target)

    def request_finished(self, target: Target, latency: int, verdict: Verdict) -> None:
        self._load_balancer.request_finished(target, latency, verdict is not Verdict.RAN)


@dataclasses.dataclass(frozen=True)
class ExchangeDependencies:
    """What an exchange works with."""

    selector: ServerSelector
    connections: BackendConnectionPool
    deduplicator: OrderDeduplicator
    budget: RetryBudget
    clock: Clock
    metrics: Metrics
    rng: random.Random
    body_idle_timeout: int


class Exchange:
    """Serves one admitted request.  Times are in milliseconds."""

    def __init__(
        self,
        request: web.Request,
        path: str,
        admitted: Admitted,
        request_id: str,
        dependencies: ExchangeDependencies,
    ) -> None:
        self._request = request
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
        """Return the server's answer.

        Raises RequestError, and TruncatedAnswer when the caller already has part of an answer.
        """
        await self._body.buffer_if_small()
        target = await self._select()
        try:
            await self._begin_order(target)
            return await self._send_until_answered(target)
        except RequestError as request_error:
            if self._may_have_run:
                # What is proved of the last send says nothing of the ones before.
                request_error.verdict = Verdict.MAY_HAVE_RUN
            if self._attempt and request_error.verdict is Verdict.NOT_RUN:
                self._dependencies.deduplicator.release(self._attempt)
            raise
        except asyncio.CancelledError:
            # The caller has gone away; what was never sent has not run.
            if self._attempt and not self._sends:
                self._dependencies.deduplicator.release(self._attempt)
            raise

    @property
    def _left(self) -> int:
        return self._admitted.deadline - self._clock.now()

    async def _select(self) -> Target:
        return await self._dependencies.selector.select(self._admitted, self._avoid)

    # Orders

    async def _begin_order(self, target: Target) -> None:
        """Make sure that the order id has not begun before, through any daemon."""
        admitted = self._admitted
        if admitted.idempotent or not admitted.order:
            return
        # Without an owner, a repeat could reach a server that does not know the id.
        caller, trusted = admitted.caller.name, admitted.service.deduplicates and target.fence > 0
        attempt = Attempt(caller, admitted.order, secrets.token_hex(8), target.fence)
        wait = min(self._left, ORDER_LOG_WAIT) if trusted else self._left
        self._attempt = attempt
        begin_result = await self._dependencies.deduplicator.begin(attempt, wait)
        if begin_result is BeginResult.REPEAT:
            self._attempt = None
            known = self._dependencies.deduplicator.find(caller, admitted.order)
            same_owner = known is not None and known.fence == target.fence
            if not (trusted and same_owner):
                raise RequestError(ErrorReason.REPEATED_ORDER, Verdict.MAY_HAVE_RUN)
        elif begin_result is BeginResult.UNSETTLED and not trusted:
            raise RequestError(ErrorReason.ORDER_LOG_UNAVAILABLE, retry_after=2_000)

    # Sends

    async def _send_until_answered(self, target: Target) -> web.StreamResponse:
        self._dependencies.budget.deposit()
        while True:
            outcome = await self._send(target)
            if not isinstance(outcome, Failed):
                return outcome
            await self._prepare_resend(outcome, target)
            target = await self._select()

    async def _send(self, target: Target) -> web.StreamResponse | Failed:
        scopes: list[asyncio.Timeout] = []
        sending = self._sending(target, scopes)
        if sending.deadline_ms <= 0:
            return Failed(Verdict.NOT_RUN, ErrorReason.DEADLINE)
        started, verdict = self._clock.now(), Verdict.MAY_HAVE_RUN
        self._sends += 1
        self._dependencies.selector.request_started(target)
        try:
            outcome = await self._dependencies.connections.send(target, sending)
            if isinstance(outcome, Answered):
                outcome = await self._relay(outcome)
            verdict = outcome.verdict if isinstance(outcome, Failed) else Verdict.RAN
            if verdict is not Verdict.RAN and scopes and self._is_superseded(target):
                return Failed(verdict, ErrorReason.MOVED)
            return outcome
        finally:
            for scope in scopes:
                self._dependencies.selector.unwatch(target, scope)
            self._may_have_run |= verdict is Verdict.MAY_HAVE_RUN
            self._dependencies.selector.request_finished(
                target, self._clock.now() - started, verdict
            )

    def _is_superseded(self, target: Target) -> bool:
        return self._dependencies.selector.is_superseded(target)

    async def _relay(self, answered: Answered) -> web.StreamResponse | Failed:
        try:
            return await relay(
                self._request, answered.response, self._request_id, max(self._left, 1)
            )
        except TruncatedAnswer as error:
            self._dependencies.metrics.count("answers.truncated")
            if error.passed_on:
                raise
            return Failed(Verdict.MAY_HAVE_RUN, ErrorReason.TRUNCATED)

    async def _prepare_resend(self, outcome: Failed, target: Target) -> None:
        """Return when the request may be sent again; raise RequestError when it may not."""
        self._dependencies.metrics.count(f"sends.{outcome.reason.code}")
        if self._body.failure:
            raise self._body.failure
        request_error = RequestError(outcome.reason, outcome.verdict, retry_after=1_000)
        allowed = outcome.verdict.is_safe_to_retry or self._admitted.idempotent
        if not allowed or not self._body.can_resend:
            raise request_error
        pause = backoff(min(self._sends, 6), self._dependencies.rng)
        if self._left <= pause or self._sends >= MAX_SENDS:
            raise request_error
        # A wait for the right owner adds no work for any server.
        if (
            outcome.reason not in (ErrorReason.NO_OWNER, ErrorReason.MOVED)
            and not self._dependencies.budget.try_acquire()
        ):
            raise request_error
        self._avoid |= {target.server}
        await asyncio.sleep(pause / 1_000)

    def _sending(self, target: Target, scopes: list[asyncio.Timeout]) -> Sending:
        def watch(scope: asyncio.Timeout) -> None:
            if self._admitted.idempotent and self._body.can_resend:
                scopes.append(scope)
                self._dependencies.selector.watch(target, scope)

        identity = f"{self._request_id}-{self._sends}"
        left = self._left
        sent = {
            name: value
            for name, value in self._request.headers.items()
            if name.lower() not in headers.NOT_FORWARDED
        }
        sent[headers.REQUEST_ID] = identity
        sent[headers.CALLER] = self._admitted.caller.name
        sent[headers.DEADLINE] = str(left)
        if self._admitted.key:
            sent[headers.KEY] = self._admitted.key
        if self._admitted.order:
            sent[headers.ORDER] = self._admitted.order
        if target.partition:
            sent[headers.PARTITION] = target.partition
            sent[headers.FENCE] = str(target.fence)
        if self._body.length is not None:
            sent["Content-Length"] = str(self._body.length)
        return Sending(
            self._request.method,
            self._path,
            sent,
            self._body.to_send(),
            identity,
            self._admitted.idempotent,
            left,
            watch,
        )
