"""Limits of callers, shared evenly between the daemons."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.model.objects import Limit
from fuchsiatrack.routing.errors import ErrorReason, RequestError


@dataclasses.dataclass
class _Usage:
    """This daemon's use of one limit: tokens left at a moment, and requests in flight."""

    tokens: float
    at: int
    in_flight: int = 0


class RequestLimiter:
    """Counts requests against limits; each daemon enforces its share of the whole.

    *daemon_count* returns the number of daemons that share a limit.
    """

    def __init__(self, clock: Clock, daemon_count: Callable[[], int]) -> None:
        self._clock = clock
        self._daemon_count = daemon_count
        self._usage: dict[str, _Usage] = {}

    def acquire(self, limits: Iterable[Limit]) -> tuple[Limit, ...]:
        """Count one request against *limits* and return those to release later.

        Raises RequestError, and counts nothing, when one of them is reached.
        """
        wanted = tuple(limits)
        for limit in wanted:
            self._check(limit, self._refill(limit))
        for limit in wanted:
            usage = self._usage[limit.name]
            usage.tokens -= 1
            usage.in_flight += 1
        return wanted

    def release(self, limits: Iterable[Limit]) -> None:
        """Count the end of one request against *limits*."""
        for limit in limits:
            self._usage[limit.name].in_flight -= 1

    def _check(self, limit: Limit, usage: _Usage) -> None:
        share = self._daemon_count()
        if usage.in_flight >= max(1, limit.in_flight // share):
            raise RequestError(ErrorReason.IN_FLIGHT_LIMIT, retry_after=1_000)
        if usage.tokens < 1:
            missing = (1 - usage.tokens) * share / limit.requests_per_second
            raise RequestError(ErrorReason.RATE_LIMIT, retry_after=max(1, int(missing * 1_000)))

    def _refill(self, limit: Limit) -> _Usage:
        share, now = self._daemon_count(), self._clock.now()
        most = max(1.0, limit.burst / share)
        usage = self._usage.setdefault(limit.name, _Usage(most, now))
        gained = (now - usage.at) / 1_000 * limit.requests_per_second / share
        usage.tokens = min(most, usage.tokens + gained)
        usage.at = now
        return usage
