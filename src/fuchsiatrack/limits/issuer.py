"""Permits of the leader for requests to servers that limit all daemons together."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.limits.ratelimiter import RateLimiter
from fuchsiatrack.limits.registry import LimitRegistry


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

    def __init__(self, registry: LimitRegistry) -> None:
        self._registry = registry
        self._limiters: dict[ServerIncarnation, RateLimiter] = {}

    def request(
        self, server: ServerIncarnation, max_delay: int, now: int, priority: int = 0
    ) -> Permit:
        """Decide on one request that can be sent at most *max_delay* milliseconds from *now*.

        A smaller *priority* is more urgent.
        """
        rate = self._registry.find(server)
        if rate is None:
            self._limiters.pop(server, None)
            return Permit(True, 0)
        limiter = limiter_for(self._limiters, server, rate, now, now)
        delay = limiter.reserve(now, max_delay, priority)
        return Permit(False, limiter.delay(now)) if delay is None else Permit(True, delay)

    def drop_outdated(self) -> None:
        """Drop the turns of servers that set no limit any more."""
        for server in self._limiters.keys() - self._registry.rates.keys():
            del self._limiters[server]

    def clear(self) -> None:
        """Forget all turns, at the start of a term."""
        self._limiters.clear()


def limiter_for(
    limiters: dict[ServerIncarnation, RateLimiter],
    server: ServerIncarnation,
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
