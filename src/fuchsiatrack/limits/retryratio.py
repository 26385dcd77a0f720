"""Retries of one daemon, in proportion to its own requests."""

from __future__ import annotations

import collections
import dataclasses
import itertools

BUCKET_MS = 500


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """Limit on retries.

    For each service, all daemons together may send `ratio` x requests + `fixed` retries in any
    `window` ms.  Raises ValueError for values that limit nothing.
    """

    ratio: float
    fixed: float
    window: int

    def __post_init__(self) -> None:
        if self.ratio < 0 or self.fixed < 0 or self.window <= 0:
            raise ValueError(
                f"retry budget: expected no negative part and a window above 0 ms (got {self})"
            )


@dataclasses.dataclass
class _Bucket:
    """Requests and retries of `BUCKET_MS` from `start` on, a time in milliseconds."""

    start: int
    requests: int = 0
    retries: int = 0


class RetryRatio:
    """One daemon's requests and retries of a service, for the part of the budget by requests.

    The requests for a window may be counted in the window itself or in the one before it.  A daemon
    uses the mean of both, which the greater of the two sums over all daemons is never below, so
    that the daemons stay within the ratio together without knowing of each other.  A daemon that
    has just started has no requests, and no retries by this part.

    Times are arguments, in milliseconds.
    """

    def __init__(self) -> None:
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def record_request(self, window: int, now: int) -> None:
        """Count a request of a caller."""
        self._bucket(window, now).requests += 1

    def try_acquire(self, ratio: float, window: int, now: int) -> bool:
        """Count a retry and return True, unless a window that ends *now* would have too many."""
        current = self._bucket(window, now)
        buckets = list(self._buckets)
        requests_before = list(itertools.accumulate((item.requests for item in buckets), initial=0))
        total = requests_before[-1]
        retries, previous = 1, len(buckets)
        for index in range(len(buckets) - 1, -1, -1):
            start = buckets[index].start
            if start <= now - window - BUCKET_MS:
                break
            retries += buckets[index].retries
            while previous > 0 and buckets[previous - 1].start >= start - window:
                previous -= 1
            # Requests since the window before began: the sum over both windows.
            mean = (total - requests_before[previous]) / 2
            if retries > ratio * mean:
                return False
        current.retries += 1
        return True

    def put_back(self, acquired_at: int) -> None:
        """Uncount a retry acquired at *acquired_at* that was not sent."""
        start = _bucket_start(acquired_at)
        for bucket in self._buckets:
            if bucket.start == start and bucket.retries:
                bucket.retries -= 1

    def _bucket(self, window: int, now: int) -> _Bucket:
        """Return the current bucket; drop those before the previous window."""
        start = _bucket_start(now)
        if not self._buckets or self._buckets[-1].start != start:
            self._buckets.append(_Bucket(start))
            while self._buckets[0].start < now - 2 * window - BUCKET_MS:
                self._buckets.popleft()
        return self._buckets[-1]


def _bucket_start(moment: int) -> int:
    return moment // BUCKET_MS * BUCKET_MS
