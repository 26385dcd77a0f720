"""Permits from the leader, by datagram or directly if this daemon leads."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.limits.issuer import Permit, PermitIssuer
from fuchsiatrack.limits.permits import PermitChannel
from fuchsiatrack.limits.registry import RATE_MIN_PER_S, LimitNotice, LimitRegistry, lower_rate
from fuchsiatrack.limits.retrybudget import RetryPermitChannel
from fuchsiatrack.limits.retryissuer import RetryIssuer
from fuchsiatrack.limits.retryratio import RetryBudgetSettings
from fuchsiatrack.peers.permitmessages import (
    PermitRequest,
    PermitResponse,
    RetryPermitRequest,
)

# Wait for the leader's decision before its request is sent once more: many round trips within a
# region, yet short enough to serve the caller's request without the leader.
DECISION_TIMEOUT_MS = 50
DECISION_SENDS = 2
# A leader that sent no acknowledgement for this long is not asked.
LEADER_SILENCE_MAX_MS = 1_000
# Age of a notice on a server that has stated nothing: later than any statement that is remembered.
UNSTATED_AGE_MS = 2**40


class LeaderPermitChannel(PermitChannel, RetryPermitChannel):
    """Asks the leader, and issues permits while this daemon leads.

    *find_leader* returns the address of the leader, None if there is none; *send* sends a request
    to an address, *is_leading* tells whether this daemon has a valid lease, *find_term* returns the
    number of the latest term, and *find_retry_settings* the settings of the retry budgets.
    """

    def __init__(
        self,
        registry: LimitRegistry,
        clock: Clock,
        find_leader: Callable[[], str | None],
        send: Callable[[PermitRequest | RetryPermitRequest, str], None],
        is_leading: Callable[[], bool],
        find_term: Callable[[], int],
        find_retry_settings: Callable[[], RetryBudgetSettings],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._find_leader = find_leader
        self._send = send
        self._is_leading = is_leading
        self._find_term = find_term
        self._find_retry_settings = find_retry_settings
        self._issuer = PermitIssuer()
        self._retry_issuer = RetryIssuer()
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Permit]] = {}
        self._heard_at: int | None = None

    @property
    def term(self) -> int:
        return self._find_term()

    async def request(
        self, server: ServerIncarnation, max_delay: int, priority: int
    ) -> Permit | None:
        now = self._clock.now()
        if self._is_leading():
            rate = self._registry.find(server)
            is_own = self._registry.find_own(server) is not None
            return self._issuer.request(server, rate, max_delay, now, priority, is_own)
        leader = self._responsive_leader(now)
        if leader is None:
            return None
        notice = next((item for item in self._registry.notices(now) if item.server == server), None)
        own_rate = self._registry.find_own(server)
        if notice is None:
            if own_rate is None:
                return Permit(True, 0)
            notice = LimitNotice(server, None, UNSTATED_AGE_MS)
        number = next(self._numbers)
        return await self._ask(leader, PermitRequest(number, max_delay, notice, priority, own_rate))

    async def request_retry(self, service: str) -> bool:
        if self._is_leading():
            return self._issue_retry(service)
        leader = self._responsive_leader(self._clock.now())
        if leader is None:
            return False
        permit = await self._ask(leader, RetryPermitRequest(next(self._numbers), service))
        return permit is not None and permit.granted

    def _responsive_leader(self, now: int) -> str | None:
        """Return the address of the leader if it has responded lately, else None."""
        if self._heard_at is None or now - self._heard_at > LEADER_SILENCE_MAX_MS:
            return None
        return self._find_leader()

    def _issue_retry(self, service: str) -> bool:
        settings, now = self._find_retry_settings(), self._clock.now()
        return self._retry_issuer.try_acquire(self.term, service, settings, now)

    def record_ack(self, issues_permits: bool) -> None:
        """Note that the leader responds; leaders of an earlier build issue no permits."""
        self._heard_at = self._clock.now() if issues_permits else None

    def start_term(self, first: int = 1) -> None:
        """Begin to issue permits, without any from a term before; see `RetryIssuer.start_term`."""
        self._issuer.start_term(self._clock.now())
        self._retry_issuer.start_term(self.term, self._clock.now(), first)

    def drop_idle(self) -> None:
        """Drop what needs not be kept of the permits that were issued."""
        self._issuer.drop_idle(self._clock.now())

    def handle_request(self, request: PermitRequest) -> PermitResponse | None:
        """Return the decision on another daemon's request, None unless this daemon leads."""
        if not self._is_leading():
            return None
        now = self._clock.now()
        rate = self._registry.resolve(request.notice, now)
        if request.own_rate is not None:
            rate = lower_rate(rate, max(request.own_rate, RATE_MIN_PER_S))
        server = request.notice.server
        is_own = request.own_rate is not None or self._registry.find_own(server) is not None
        permit = self._issuer.request(
            server, rate, request.max_delay, now, request.priority, is_own
        )
        return PermitResponse(request.number, permit)

    def handle_retry_request(self, request: RetryPermitRequest) -> PermitResponse | None:
        """Return the decision on another daemon's retry, None unless this daemon leads."""
        if not self._is_leading():
            return None
        return PermitResponse(request.number, Permit(self._issue_retry(request.service), 0))

    def handle_response(self, response: PermitResponse) -> None:
        """Pass the leader's decision to the request that waits for it."""
        decision = self._pending.get(response.number)
        if decision is not None and not decision.done():
            decision.set_result(response.permit)

    async def _ask(self, leader: str, request: PermitRequest | RetryPermitRequest) -> Permit | None:
        decision = self._pending[request.number] = asyncio.get_running_loop().create_future()
        try:
            for _ in range(DECISION_SENDS):
                self._send(request, leader)
                await asyncio.wait([decision], timeout=DECISION_TIMEOUT_MS / 1_000)
                if decision.done():
                    return decision.result()
        finally:
            del self._pending[request.number]
        # Not asked again before its next acknowledgement.
        self._heard_at = None
        return None
