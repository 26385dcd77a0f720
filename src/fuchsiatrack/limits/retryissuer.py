"""Permits of the leader for retries from the fixed part of the retry budgets."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.limits.retryratio import RetryBudgetSettings

# Share of the fixed part that one leader issues at once, and again in the course of a window.  The
# rest covers a former leader that issues permits until its lease ends, and permits used late.
BURST_SHARE = 0.35
REFILL_SHARE = 0.35


@dataclasses.dataclass
class _Bucket:
    """Permits that are available, as of `updated_at` in milliseconds."""

    permits: float
    updated_at: int


class RetryIssuer:
    """Issues the fixed part of each service's retry budget while this daemon leads.

    A token bucket for each service: any window has at most the permits of a full bucket and those
    that come in it.  The buckets of a new term are empty, so that this holds across terms too,
    although the leader doesn't know what the former one issued; only the first term of all begins
    with full ones.  Times are arguments, in milliseconds.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._term = 0
        self._term_started_at = 0
        self._first_term = 1

    def start_term(self, number: int, now: int, first: int = 1) -> None:
        """Forget the permits of an earlier term; *first* is the number of the first one of all.

        If that isn't known, it is 0.
        """
        self._first_term = first
        self._buckets.clear()
        self._term, self._term_started_at = number, now

    def try_acquire(self, term: int, service: str, settings: RetryBudgetSettings, now: int) -> bool:
        """Issue a permit for one retry to *service* in *term* if one is available."""
        if term != self._term:
            return False
        capacity = BURST_SHARE * settings.fixed
        bucket = self._buckets.get(service)
        if bucket is None:
            permits = capacity if term == self._first_term else 0.0
            bucket = self._buckets[service] = _Bucket(permits, self._term_started_at)
        refill = REFILL_SHARE * settings.fixed * (now - bucket.updated_at) / settings.window
        bucket.permits, bucket.updated_at = min(capacity, bucket.permits + refill), now
        if bucket.permits < 1:
            return False
        bucket.permits -= 1
        return True
