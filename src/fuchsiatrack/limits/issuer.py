"""Permits of the leader for requests to servers that limit all daemons together."""

from __future__ import annotations

import dataclasses
from typing import TypeVar

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.limits.ratelimiter import RESERVATION_MAX_MS, TURN_LIFETIME_MS, RateLimiter

# How long turns of a former leader may be used: the last one begins `RESERVATION_MAX_MS` after its
# response arrived, which takes a moment.
RESPONSE_MAX_MS = 100
FORMER_TURNS_MS = RESERVATION_MAX_MS + TURN_LIFETIME_MS + RESPONSE_MAX_MS

ServerT = TypeVar("ServerT", str, ServerIncarnation)


@dataclasses.dataclass(frozen=True)
class Permit:
    """The leader's decision on one request.

    If `granted`, the request may be sent after `delay` milliseconds; otherwise `delay` is the time
    until the next turn that nobody has reserved.
    """

    granted: bool
    delay: int


class PermitIssuer:
    """Shares out each server's limit while this daemon leads.

    Requests are served in the order in which they come, except that more urgent ones reserve their
    turns further ahead; see `RateLimiter`.

    Shares by demand instead of equal ones: a server's requests may all come through one daemon,
    and a limit may be below one request a second for each daemon.
    """

    def __init__(self) -> None:
        # By server id: a server that restarts goes on with the limiter of its earlier incarnation,
        # which some daemons may still send to.
        self._limiters: dict[str, RateLimiter] = {}
        # When the turns within limits that no server states begin.
        self._own_turns_from = 0

    def request(
        self,
        server: ServerIncarnation,
        rate: float | None,
        max_delay: int,
        now: int,
        priority: int = 0,
        is_own: bool = False,
    ) -> Permit:
        """Decide on one request that can be sent at most *max_delay* milliseconds from *now*.

        *rate* is the limit of *server* in requests per second, None if it sets none.  A smaller
        *priority* is more urgent.  *is_own* tells whether daemons keep the limit of their own
        accord, which leaves no room for the turns of two leaders.
        """
        if rate is None:
            return Permit(True, 0)
        first_turn = max(now, self._own_turns_from) if is_own else now
        limiter = limiter_for(self._limiters, server.server, rate, first_turn, now)
        delay = limiter.reserve(now, max_delay, priority)
        return Permit(False, limiter.delay(now)) if delay is None else Permit(True, delay)

    def drop_idle(self, now: int) -> None:
        """Drop the limiters of servers that have a free turn, as a new limiter has."""
        self._limiters = {
            server: limiter for server, limiter in self._limiters.items() if limiter.delay(now) > 0
        }

    def start_term(self, now: int) -> None:
        """Forget all turns, and wait until those of the former leader are used."""
        self._limiters.clear()
        self._own_turns_from = now + FORMER_TURNS_MS


def limiter_for(
    limiters: dict[ServerT, RateLimiter],
    server: ServerT,
    rate: float,
    first_turn: float,
    now: int,
) -> RateLimiter:
    """Return the limiter of *server* at *rate*, created with *first_turn* if necessary."""
    limiter = limiters.get(server)
    if limiter is None:
        limiter = limiters[server] = RateLimiter(rate, first_turn)
    elif limiter.rate != rate:
        limiter.change_rate(rate, now)
    return limiter
