"""Request rates by key and service times by server, as the daemons report them."""

from __future__ import annotations

import bisect
import dataclasses
import heapq
import itertools
from collections.abc import Iterable, Mapping

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.ownership import LAST_KEY

# Time in which a rate falls to about a third when nothing more is counted, in milliseconds: short
# against the seconds that a hot spot lasts, long enough for some hundred requests.
RATE_MEMORY = 2_500
# Rates below this are dropped, in requests a second.
RATE_MIN = 0.02
# Share of the load that is taken as spread evenly over all keys, since a key without a request
# until now may get one.
EVEN_SHARE = 0.25
# Weight of a report of one sample in the mean service time.
SERVICE_TIME_GAIN = 0.04


@dataclasses.dataclass(frozen=True)
class KeyRate:
    """The rate of one key, in requests a second."""

    key: int
    rate: float


@dataclasses.dataclass(frozen=True)
class KeyRates:
    """Request rates at one moment, for sums over ranges; in requests a second."""

    keys: tuple[int, ...]
    sums: tuple[float, ...]
    even: float

    @property
    def total(self) -> float:
        """The rate of all keys."""
        return self.sums[-1] + self.even * (LAST_KEY + 1)

    def between(self, first: int, last: int) -> float:
        """Return the rate of the keys from *first* to *last*."""
        start = bisect.bisect_left(self.keys, first)
        end = bisect.bisect_right(self.keys, last)
        return self.sums[end] - self.sums[start] + self.even * (last - first + 1)

    def heaviest(self, count: int, first: int = 0, last: int = LAST_KEY) -> list[KeyRate]:
        """Return up to *count* keys from *first* to *last* with the most requests."""
        start = bisect.bisect_left(self.keys, first)
        end = bisect.bisect_right(self.keys, last)
        known = (
            KeyRate(self.keys[index], self.sums[index + 1] - self.sums[index])
            for index in range(start, end)
        )
        return heapq.nlargest(count, known, key=lambda item: item.rate)

    def reach(self, first: int, last: int, rate: float) -> int:
        """Return the least key up to *last* such that *first* to it carry at least *rate*."""
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.between(first, middle) >= rate:
                high = middle
            else:
                low = middle + 1
        return low


class KeyLoad:
    """Smoothed request rates by key."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[int, float] = {}
        self._decayed_at = clock.now()

    def add(self, counts: Mapping[int, int]) -> None:
        """Take in how many requests came for each key since the sender's last report."""
        self._decay()
        for key, count in counts.items():
            self._rates[key] = self._rates.get(key, 0.0) + count * 1_000 / RATE_MEMORY

    def rates(self) -> KeyRates:
        """Return the rates as of now."""
        self._decay()
        keys = tuple(sorted(self._rates))
        known = list(itertools.accumulate((self._rates[key] for key in keys), initial=0.0))
        scale = 1 - EVEN_SHARE
        even = max(known[-1] * EVEN_SHARE, 1.0) / (LAST_KEY + 1)
        return KeyRates(keys, tuple(item * scale for item in known), even)

    def _decay(self) -> None:
        elapsed = self._clock.now() - self._decayed_at
        if elapsed < RATE_MEMORY // 10:
            return
        self._decayed_at += elapsed
        factor = max(0.0, 1 - elapsed / RATE_MEMORY)
        decayed = ((key, rate * factor) for key, rate in self._rates.items())
        self._rates = {key: rate for key, rate in decayed if rate >= RATE_MIN}


class ServiceTimes:
    """Mean time that each server works on one request, in milliseconds."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, server: str, samples: int, mean: float) -> None:
        """Take in *samples* answers with the *mean* time."""
        old = self._means.get(server, mean)
        weight = 1 - (1 - SERVICE_TIME_GAIN) ** min(samples, 50)
        self._means[server] = old + weight * (mean - old)

    def speeds(self, servers: Iterable[str]) -> dict[str, float]:
        """Return the speed of each server against the typical one of the group.

        A server without a sample counts as typical.
        """
        names = tuple(servers)
        known = sorted(self._means[name] for name in names if name in self._means)
        if not known:
            return dict.fromkeys(names, 1.0)
        typical = known[len(known) // 2]
        return {name: typical / self._means.get(name, typical) for name in names}
