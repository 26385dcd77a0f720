"""Spacing of requests at a fixed rate."""

from __future__ import annotations

import dataclasses
import math

# A turn that is not used within this time is lost.  A window of any length therefore has at most
# the turns that begin in it, or by this time earlier, also in the sum over many rate limiters.
TURN_LIFETIME_MS = 500
# Turns are reserved at most this far ahead: another limiter that takes over knows nothing of them
# and gives out the same time again.
RESERVATION_MAX_MS = 1_000
# For this long after a request, turns are kept for more requests of its priority.
PRIORITY_MEMORY_MS = 5_000
# How far ahead less urgent requests reserve their turns then, as a share of the time that the more
# urgent one could wait.
LESS_URGENT_RATIO = 0.25


@dataclasses.dataclass(frozen=True)
class _Asked:
    """The time of a request, and how long it could wait for its turn, both in milliseconds."""

    at: int
    max_delay: int


class RateLimiter:
    """Gives out turns at a rate; each turn is valid from its time on for `TURN_LIFETIME_MS`.

    Answers the load pattern of many callers that together send more than a server takes: turns are
    reserved ahead, so that a caller knows at once whether and when its request can be sent.
    Requests that can wait for long would reserve every turn before more urgent ones that can't, and
    therefore reserve only turns that come soon while there are more urgent ones.
    *rate* is in requests per second, above 0, and *first_turn* a time in milliseconds.
    """

    def __init__(self, rate: float, first_turn: float) -> None:
        self._rate = rate
        self._next_turn = first_turn
        # The latest request of each priority that could wait.
        self._asked: dict[int, _Asked] = {}

    @property
    def rate(self) -> float:
        """The rate in requests per second."""
        return self._rate

    @property
    def interval(self) -> float:
        """The time between turns, in milliseconds."""
        return 1_000 / self._rate

    def change_rate(self, rate: float, now: int) -> None:
        """Change the rate; turns that are reserved ahead keep their number."""
        reserved = (self._next_turn - now) / self.interval
        self._rate = rate
        self._next_turn = now + reserved * self.interval

    def delay(self, now: int) -> int:
        """Return the time until the next turn that is not reserved, in milliseconds."""
        self._drop_expired_turns(now)
        return max(0, math.ceil(self._next_turn - now))

    def reserve(self, now: int, max_delay: int, priority: int = 0) -> int | None:
        """Reserve the next turn and return its delay, None if that exceeds *max_delay*.

        It is also denied if it is too far ahead, or must be left to more urgent requests; a smaller
        *priority* is more urgent.  Both delays are in milliseconds.
        """
        if max_delay > 0:
            self._asked[priority] = _Asked(now, max_delay)
        delay = self.delay(now)
        if delay > min(max_delay, self._furthest_delay(now, priority)):
            return None
        self._next_turn += self.interval
        return delay

    def _furthest_delay(self, now: int, priority: int) -> float:
        """Return how far ahead a request with *priority* may reserve its turn, in milliseconds."""
        more_urgent = (
            asked.max_delay * LESS_URGENT_RATIO
            for other_priority, asked in self._asked.items()
            if other_priority < priority and now - asked.at < PRIORITY_MEMORY_MS
        )
        return min([RESERVATION_MAX_MS, *more_urgent])

    def _drop_expired_turns(self, now: int) -> None:
        expired_for = now - TURN_LIFETIME_MS - self._next_turn
        if expired_for > 0:
            self._next_turn += math.ceil(expired_for / self.interval) * self.interval
