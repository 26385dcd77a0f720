"""Spacing of requests at a fixed rate."""

from __future__ import annotations

import math

# A turn that is not used within this time is lost.  A window of any length therefore has at most
# the turns that begin in it, or by this time earlier, also in the sum over many rate limiters.
TURN_LIFETIME_MS = 500


class RateLimiter:
    """Gives out turns at a rate; each turn is valid from its time on for `TURN_LIFETIME_MS`.

    Answers the load pattern of many callers that together send more than a server takes: turns are
    reserved ahead, so that a caller knows at once whether and when its request can be sent.
    *rate* is in requests per second, above 0, and *first_turn* a time in milliseconds.
    """

    def __init__(self, rate: float, first_turn: float) -> None:
        self._rate = rate
        self._next_turn = first_turn

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

    def reserve(self, now: int, max_delay: int) -> int | None:
        """Reserve the next turn and return its delay, None if that exceeds *max_delay*.

        Both delays are in milliseconds.
        """
        delay = self.delay(now)
        if delay > max_delay:
            return None
        self._next_turn += self.interval
        return delay

    def _drop_expired_turns(self, now: int) -> None:
        expired_for = now - TURN_LIFETIME_MS - self._next_turn
        if expired_for > 0:
            self._next_turn += math.ceil(expired_for / self.interval) * self.interval
