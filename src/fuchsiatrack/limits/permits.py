"""This daemon's permits for requests to servers that limit all daemons together."""

from __future__ import annotations

import abc
import dataclasses
import random
from collections.abc import Callable

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.limits.issuer import Permit, limiter_for
from fuchsiatrack.limits.ratelimiter import TURN_LIFETIME_MS, RateLimiter
from fuchsiatrack.limits.registry import LimitRegistry

# Part of an equal share that a daemon uses while no leader issues permits to it.  The leader may
# give the whole limit to other daemons meanwhile, and servers allow half of it in addition.
UNLED_SHARE_RATIO = 0.5
# How many daemons share what is divided among them as long as no leader has counted them: the most
# that are supported.
UNCOUNTED_DAEMONS = 480
# By then there is usually a leader again, so that callers needn't wait for the daemon's own share.
LEADER_RETURN_MS = 1_000
DENIAL_MEMORY_MAX_MS = 500


class LimitReached(Exception):
    """The server's limit leaves no room in time; `retry_after` is in milliseconds."""

    def __init__(self, server: str, retry_after: int) -> None:
        super().__init__(f"{server}: no room within its limit for {retry_after} ms")
        self.retry_after = retry_after


@dataclasses.dataclass(frozen=True)
class Turn:
    """This daemon's permission to send one request to `server` from `starts_at` on.

    It ends before `expires_at`; both are times of this daemon's clock, in milliseconds.  It also
    ends with `term`, since the next leader gives out the same time again.
    """

    server: ServerIncarnation
    term: int
    starts_at: int
    expires_at: int


class PermitChannel(abc.ABC):
    """Way to the leader, which issues the permits of all daemons."""

    @property
    @abc.abstractmethod
    def term(self) -> int:
        """The number of the latest term that this daemon knows."""

    @abc.abstractmethod
    async def request(
        self, server: ServerIncarnation, max_delay: int, priority: int
    ) -> Permit | None:
        """Return the leader's decision, None if no leader decides in time.

        *max_delay* is in milliseconds, and a smaller *priority* is more urgent.
        """


class PermitPool:
    """Acquires turns for this daemon's requests, one for each send.

    The leader issues permits for them by demand.  While there is none, each daemon uses a share of
    its own.  *count_daemons* returns how many there are, None if no leader has counted them.  Turns
    that were not used are kept for the next requests.
    """

    def __init__(
        self,
        registry: LimitRegistry,
        channel: PermitChannel,
        count_daemons: Callable[[], int | None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._channel = channel
        self._count_daemons = count_daemons
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._own_shares: dict[ServerIncarnation, RateLimiter] = {}
        self._unused: dict[ServerIncarnation, list[Turn]] = {}
        self._full_until: dict[ServerIncarnation, int] = {}

    def expected_delay(self, server: ServerIncarnation) -> int:
        """Return for how long *server* is known to have no room, in milliseconds."""
        if self._registry.find(server) is None:
            return 0
        return max(0, self._full_until.get(server, 0) - self._clock.now())

    async def acquire(
        self, server: ServerIncarnation, max_delay: int, priority: int = 0
    ) -> Turn | None:
        """Wait until one request may be sent to *server*, at most *max_delay* milliseconds.

        Return its turn, None if *server* sets no limit.  Raises LimitReached at once if there is no
        room in time.  A smaller *priority* is more urgent.
        """
        rate = self._registry.find(server)
        if rate is None:
            return None
        unused = self._take_unused(server)
        if unused is not None:
            return unused
        known_delay = self.expected_delay(server)
        if known_delay > max_delay:
            raise self._limit_reached(server, rate, known_delay)
        term = self._channel.term
        permit = await self._request_permit(server, max_delay, priority)
        if not permit.granted:
            raise self._limit_reached(server, rate, permit.delay)
        self._metrics.count("permits.granted")
        starts_at = self._clock.now() + permit.delay
        turn = Turn(server, term, starts_at, starts_at + TURN_LIFETIME_MS)
        try:
            await self._clock.sleep(permit.delay)
        except BaseException:
            self.put_back(turn)
            raise
        return turn

    def is_valid(self, turn: Turn | None, server: ServerIncarnation) -> bool:
        """Return whether a request with *turn* may be sent to *server* now."""
        if turn is None:
            return self._registry.find(server) is None
        return self._clock.now() < turn.expires_at and turn.term == self._channel.term

    def put_back(self, turn: Turn) -> None:
        """Keep a turn whose request was not sent, until it expires."""
        if self._registry.find(turn.server) is not None:
            self._unused.setdefault(turn.server, []).append(turn)

    def drop_outdated(self) -> None:
        """Drop what is known of servers that set no limit any more."""
        kept = self._registry.rates.keys()
        for by_server in (self._own_shares, self._unused, self._full_until):
            for server in by_server.keys() - kept:
                del by_server[server]

    def _take_unused(self, server: ServerIncarnation) -> Turn | None:
        now = self._clock.now()
        unused = [turn for turn in self._unused.get(server, ()) if self.is_valid(turn, server)]
        turn = next((turn for turn in unused if turn.starts_at <= now), None)
        self._unused[server] = [other for other in unused if other is not turn]
        return turn

    async def _request_permit(
        self, server: ServerIncarnation, max_delay: int, priority: int
    ) -> Permit:
        permit = await self._channel.request(server, max_delay, priority)
        if permit is None:
            return self._request_own_share(server, max_delay, priority)
        if not permit.granted:
            # The leader isn't asked again before there is room, unless the limit may have changed.
            known_delay = min(permit.delay, DENIAL_MEMORY_MAX_MS)
            self._full_until[server] = self._clock.now() + known_delay
        return permit

    def _request_own_share(
        self, server: ServerIncarnation, max_delay: int, priority: int
    ) -> Permit:
        """Decide by this daemon's share of the limit."""
        self._metrics.count("permits.unled")
        rate = self._registry.find(server)
        if rate is None:
            return Permit(True, 0)
        now = self._clock.now()
        share = rate * UNLED_SHARE_RATIO / (self._count_daemons() or UNCOUNTED_DAEMONS)
        # A random phase keeps the daemons' turns apart.
        first_turn = now + self._rng.uniform(0, 1_000 / share)
        limiter = limiter_for(self._own_shares, server, share, first_turn, now)
        delay = limiter.reserve(now, max_delay, priority)
        if delay is not None:
            return Permit(True, delay)
        return Permit(False, min(limiter.delay(now), LEADER_RETURN_MS))

    def _limit_reached(self, server: ServerIncarnation, rate: float, delay: int) -> LimitReached:
        self._metrics.count("permits.denied")
        # Spread over the next turns, so that callers don't return at the same moment.
        spread = self._rng.uniform(0, 1_000 / rate)
        return LimitReached(server.server, int(delay + spread) + 1)
