"""Retry budget of one daemon, sized so that all daemons together stay within one limit."""

from __future__ import annotations

import collections
import dataclasses

from fuchsiatrack.kernel.clock import Clock

# The rest of the allowed ratio covers retries that arrive in another window than they were sent.
USED_RATIO_SHARE = 0.8
# Share of the fixed allowance that all daemons use together.
USED_FIXED_SHARE = 0.7
BUCKET_MS = 500


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """Limit on retries.

    For each service, all daemons together may send `ratio` x requests + `fixed` retries in any
    `window` ms.
    """

    ratio: float
    fixed: float
    window: int


class SharedRetryBudget:
    """This daemon's share of the retry budget of one service.

    Each daemon applies the ratio to its own requests, which keeps the total within the ratio; the
    fixed part is divided by the number of daemons.
    """

    def __init__(self, settings: RetryBudgetSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._requests: collections.deque[list[int]] = collections.deque()
        self._retries: collections.deque[list[int]] = collections.deque()

    def record_request(self) -> None:
        """Count a request from a caller."""
        self._add(self._requests)

    def try_acquire(self, daemon_count: int) -> bool:
        """Return whether a retry is within the budget, and count it if so.

        *daemon_count* is the number of daemons that share the fixed part.
        """
        settings = self._settings
        allowed = settings.ratio * USED_RATIO_SHARE * self._sum(
            self._requests
        ) + settings.fixed * USED_FIXED_SHARE / max(1, daemon_count)
        if self._sum(self._retries) + 1 > allowed:
            return False
        self._add(self._retries)
        return True

    def _add(self, buckets: collections.deque[list[int]]) -> None:
        start = self._clock.now() // BUCKET_MS * BUCKET_MS
        if buckets and buckets[-1][0] == start:
            buckets[-1][1] += 1
        else:
            buckets.append([start, 1])

    def _sum(self, buckets: collections.deque[list[int]]) -> int:
        window_start = self._clock.now() - self._settings.window
        while buckets and buckets[0][0] < window_start:
            buckets.popleft()
        return sum(count for _, count in buckets)
