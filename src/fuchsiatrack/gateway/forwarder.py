"""One caller's request from its head to its answer."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from aiohttp import web

from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry
from fuchsiatrack.gateway.choosers import ServerChooser, Wanted
from fuchsiatrack.gateway.edge import AnswerTerms, BadRequest, CallTerms, Edge
from fuchsiatrack.gateway.gates import Claim, ServerGates
from fuchsiatrack.gateway.linkpool import LinkPool
from fuchsiatrack.gateway.retrybudget import SharedRetryBudget
from fuchsiatrack.gateway.serverlink import (
    ConnectFailed,
    ExchangeFailed,
    OutgoingRequest,
    ServerAnswer,
    ServerLink,
)
from fuchsiatrack.gateway.serverstate import ServerStates
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.model.routes import Route, RoutedService, RouteTable
from fuchsiatrack.routing.body import RequestBody
from fuchsiatrack.routing.refusal import Reason, Refusal

# Subtracted from the time that a server gets, in milliseconds: the way back to the caller.
RETURN_MARGIN = 8
# Idempotent requests use connections that were idle this long at most, in milliseconds.
IDEMPOTENT_IDLE_MAX = 8_000
# Others use only connections that carried an answer just before, in milliseconds, since a request
# on one that has gone silent may have run.
ORDER_IDLE_MAX = 1_000
# Connections of a server that are left for grants, from a leader and from the one before it.
CONTROL_CONNECTIONS = 4
# Longest wait for a change of ownership after a server didn't hold the key, in milliseconds: a
# grant follows its record on the log within a few.
NEWS_WAIT = 60
# Pause before another send, in milliseconds; grows with each send.
RESEND_PAUSE = 4
# When a caller may come back after its request was refused, in milliseconds.
RETRY_AFTER = 150
# Sends of one request to any servers.
SENDS_MAX = 6

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ForwarderParts:
    """What a forwarder works with; `chooser` and `budget` are looked up by service."""

    edge: Edge
    clock: Clock
    rng: random.Random
    links: LinkPool
    states: ServerStates
    gates: ServerGates
    directory: ServerDirectory
    table: Callable[[], RouteTable | None]
    is_ready: Callable[[], bool]
    chooser: Callable[[RoutedService], ServerChooser]
    budget: Callable[[str], SharedRetryBudget]
    daemons: Callable[[], int]
    note_key: Callable[[str, int], None]
    note_misrouted: Callable[[], None]
    body_idle_timeout: int


@dataclasses.dataclass
class Outcome:
    """How a request ended, for logs and metrics."""

    request_id: str = ""
    route: str = ""
    service: str = ""
    server: str = ""
    sends: int = 0
    status: int = 0
    reason: str = ""
    verdict: str = ""
    elapsed: int = 0
    key: int | None = None


class Exchange:
    """Serves one request; `outcome` tells how it ended.  Times are in milliseconds."""

    def __init__(self, request: web.BaseRequest, parts: ForwarderParts) -> None:
        self._request = request
        self._parts = parts
        self._clock = parts.clock
        self._started = parts.clock.now()
        self._deadline = 0
        self._avoid: frozenset[str] = frozenset()
        self._servers: set[str] = set()
        self._may_have_run = False
        self._failed_answer: web.Response | None = None
        self._service: RoutedService | None = None
        self._body: RequestBody | None = None
        self.outcome = Outcome()

    async def run(self) -> web.Response:
        """Return a server's answer, or one of the daemon's own."""
        try:
            response = await self._serve()
        except Refusal as refusal:
            # A server's own failure says more than one of the daemon's.
            response = self._failed_answer or self._refuse(refusal)
        self.outcome.status = response.status
        self.outcome.elapsed = self._clock.now() - self._started
        return response

    async def _serve(self) -> web.Response:
        terms = self._read_terms()
        table = self._parts.table()
        if table is None or not self._parts.is_ready():
            raise Refusal(Reason.NOT_READY, retry_after=RETRY_AFTER)
        host = self._request.headers.get("Host", "").partition(":")[0]
        path = self._request.raw_path.partition("?")[0]
        route = table.find(host, path)
        if route is None:
            raise Refusal(Reason.NO_SERVICE)
        service = route.choose_service(self._parts.rng)
        self.outcome.route, self.outcome.service = route.name, service
        time_left = route.timeout if terms.time_left is None else terms.time_left
        self._deadline = self._started + min(time_left - RETURN_MARGIN, route.timeout)
        self._parts.budget(service).note_request()
        # Kept for the whole request, since a later configuration may drop the service.
        self._service = table.services[service]
        if self._service.keyed and terms.key is not None:
            self._parts.note_key(service, terms.key)
        await self._read_body(table.limits.max_body)
        try:
            async with asyncio.timeout(max(self._left, 0) / 1_000):
                return await self._send_until_answered(route, service, terms)
        except TimeoutError:
            verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
            raise Refusal(Reason.DEADLINE, verdict) from None

    @property
    def _left(self) -> int:
        return self._deadline - self._clock.now()

    def _read_terms(self) -> CallTerms:
        try:
            terms = self._parts.edge.read_request(self._request.headers)
        except BadRequest as error:
            log.info("request can't be read", extra={"why": str(error)})
            raise Refusal(Reason.BAD_HEADER) from error
        self.outcome.request_id, self.outcome.key = terms.request_id, terms.key
        return terms

    async def _read_body(self, limit: int) -> None:
        length = self._request.content_length
        if length is not None and length > limit:
            raise Refusal(Reason.TOO_LARGE)
        if self._request.headers.get("Expect", "").lower() == "100-continue":
            self._request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._body = RequestBody(self._request, limit, self._parts.body_idle_timeout)
        await self._body.hold_if_small()

    # Sends

    async def _send_until_answered(
        self, route: Route, service: str, terms: CallTerms
    ) -> web.Response:
        chooser = self._parts.chooser(self._service)
        while True:
            size = self._body.length or 0
            wanted = Wanted(service, terms.key, size, self._deadline, self._avoid)
            entry = await chooser.choose(wanted)
            self.outcome.server = entry.id
            try:
                return await self._send(entry, route, terms, wanted)
            except Refusal as refusal:
                await self._prepare_resend(refusal, route, service, entry)
                if refusal.reason is Reason.MOVED:
                    await chooser.wait_for_news(wanted, NEWS_WAIT)

    async def _prepare_resend(
        self, refusal: Refusal, route: Route, service: str, entry: ServerEntry
    ) -> None:
        """Return when the request may be sent again; raise *refusal* when it may not."""
        outcome = self.outcome
        fields = {
            "request_id": outcome.request_id,
            "server": entry.id,
            "send": outcome.sends,
            "reason": refusal.reason.label,
            "verdict": refusal.verdict.value,
            "left_ms": self._left,
        }
        log.info("send failed", extra=fields)
        allowed = refusal.verdict.allows_resend or route.idempotent
        if not allowed or not self._body.can_resend or outcome.sends >= SENDS_MAX:
            raise refusal
        if refusal.reason is Reason.STALE:
            # Nothing was sent; another server is chosen.
            return
        if refusal.reason is not Reason.MOVED:
            self._avoid |= {entry.id}
        if refusal.reason is not Reason.CONNECTION or refusal.verdict is not Verdict.NOT_RUN:
            if not self._parts.budget(service).take(self._parts.daemons()):
                raise refusal
        if len(self._servers) >= route.max_servers and entry.id in self._avoid:
            raise refusal
        await self._clock.sleep(RESEND_PAUSE * outcome.sends)

    async def _send(
        self, entry: ServerEntry, route: Route, terms: CallTerms, wanted: Wanted
    ) -> web.Response:
        """Send once; raise Refusal with what is known when no usable answer came."""
        state = self._parts.states.get(entry.id, entry.slots)
        gate = self._parts.gates.get(entry.id)
        most = self._connection_share()
        await gate.enter(self._claim(route), most, state.latency)
        try:
            if not self._parts.chooser(self._service).is_current(entry, wanted):
                raise Refusal(Reason.STALE, retry_after=RETRY_AFTER)
            return await self._send_now(entry, route, terms, most)
        finally:
            gate.leave(state.latency)

    def _claim(self, route: Route) -> Claim:
        return Claim(route.priority, self._started + route.objective, self._deadline)

    def _connection_share(self) -> int:
        """Return this daemon's share of the connections that each server takes."""
        most = self._service.max_connections
        return max(1, (most - CONTROL_CONNECTIONS) // self._parts.daemons())

    async def _send_now(
        self, entry: ServerEntry, route: Route, terms: CallTerms, most: int
    ) -> web.Response:
        parts = self._parts
        state = parts.states.get(entry.id, entry.slots)
        gate = parts.gates.get(entry.id)
        idle_max = IDEMPOTENT_IDLE_MAX if route.idempotent else ORDER_IDLE_MAX
        state.in_flight += 1
        started = self._clock.now()
        try:
            parts.links.make_room(entry.id, entry.address, most - gate.taken)
            link = await parts.links.take(entry.id, entry.address, idle_max)
            self.outcome.sends += 1
            self._servers.add(entry.id)
            answer = await self._exchange(link, entry)
            parts.links.give_back(entry.id, entry.address, link)
        except ConnectFailed as error:
            state.note_failure(self._clock.now())
            raise Refusal(Reason.CONNECTION, retry_after=RETRY_AFTER) from error
        except ExchangeFailed as error:
            state.note_failure(self._clock.now())
            raise self._broken(Reason.CONNECTION, error.verdict) from error
        finally:
            state.in_flight -= 1
        return self._judge(answer, entry, route, terms, self._clock.now() - started)

    async def _exchange(self, link: ServerLink, entry: ServerEntry) -> ServerAnswer:
        left = self._left - RETURN_MARGIN
        if left <= 0:
            link.abort()
            raise Refusal(Reason.DEADLINE)
        headers = self._parts.edge.request_headers(self._request.headers, left, entry.id)
        body = self._body.to_send() or b""
        outgoing = OutgoingRequest(self._request.method, self._request.raw_path, headers, body)
        settled, self._may_have_run = self._may_have_run, True
        try:
            answer = await link.exchange(outgoing)
        except ExchangeFailed as error:
            if error.verdict is Verdict.NOT_RUN:
                self._may_have_run = settled
            raise
        terms = self._parts.edge.read_answer(answer.status, answer.headers)
        if terms.not_run and terms.request_id in ("", self.outcome.request_id):
            self._may_have_run = settled
        return answer

    def _judge(
        self, answer: ServerAnswer, entry: ServerEntry, route: Route, terms: CallTerms, elapsed: int
    ) -> web.Response:
        """Return the answer for the caller; raise Refusal when it is none."""
        parts, now = self._parts, self._clock.now()
        state = parts.states.get(entry.id, entry.slots)
        said = parts.edge.read_answer(answer.status, answer.headers)
        if said.load is not None:
            state.note_load(said.load, now)
        gate = parts.gates.get(entry.id)
        if said.not_run and said.request_id in ("", terms.request_id):
            if said.wrong_server:
                raise self._misrouted(entry, said)
            gate.limit.note_shed()
            state.note_answer(elapsed, False, now)
            raise Refusal(Reason.SHED, retry_after=RETRY_AFTER)
        if said.request_id != terms.request_id:
            state.note_failure(now)
            raise self._broken(Reason.CROSSED, Verdict.MAY_HAVE_RUN)
        if not said.is_genuine and answer.status < 400:
            state.note_failure(now)
            raise self._broken(Reason.TRUNCATED, Verdict.MAY_HAVE_RUN)
        state.note_answer(elapsed, answer.status < 500, now)
        parts.states.note_answer_size(entry.service, len(answer.body))
        gate.limit.note_answer(said.load, self._connection_share())
        if answer.status >= 500 and route.idempotent and self.outcome.sends < route.max_servers:
            self._failed_answer = self._pass_on(answer)
            raise self._broken(Reason.SERVER_ERROR, Verdict.RAN)
        return self._pass_on(answer)

    def _misrouted(self, entry: ServerEntry, said: AnswerTerms) -> Refusal:
        """Return what a server's word means that another one should have got the request."""
        if said.answered_by not in ("", entry.id):
            self._parts.directory.note_impostor(entry)
            return Refusal(Reason.IMPOSTOR, retry_after=RETRY_AFTER)
        self._parts.note_misrouted()
        return Refusal(Reason.MOVED, retry_after=RETRY_AFTER)

    def _broken(self, reason: Reason, verdict: Verdict) -> Refusal:
        return Refusal(reason, verdict, retry_after=RETRY_AFTER)

    def _pass_on(self, answer: ServerAnswer) -> web.Response:
        if answer.status in PROMISES:
            # The server ran it or may have, so its status would promise too much.
            raise Refusal(Reason.SERVER_ERROR, Verdict.MAY_HAVE_RUN)
        headers = self._parts.edge.answer_headers(answer.headers)
        self.outcome.verdict = Verdict.RAN.value
        return web.Response(
            status=answer.status, reason=answer.reason, headers=headers, body=answer.body
        )

    def _refuse(self, refusal: Refusal) -> web.Response:
        if self._may_have_run:
            # What is proved of the last send says nothing of the ones before.
            refusal.verdict = Verdict.MAY_HAVE_RUN
        self.outcome.reason = refusal.reason.label
        self.outcome.verdict = refusal.verdict.value
        retry_after = refusal.retry_after if refusal.verdict is Verdict.NOT_RUN else 0
        headers = self._parts.edge.refusal_headers(self.outcome.request_id, retry_after)
        return web.Response(status=refusal.final_status, headers=headers, text=refusal.reason.label)


# Statuses that promise the caller that its request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
