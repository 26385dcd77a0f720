"""Request rates by key and service times by server, from the load reports of all daemons."""

from __future__ import annotations

import bisect
import dataclasses
import heapq
import itertools
from collections.abc import Iterable, Mapping

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.ownership import LAST_KEY

# A rate falls to about a third in this time without requests. Hot spots last for seconds; this is
# short in comparison, yet long enough to count some hundred requests.
RATE_TIME_CONSTANT_MS = 2_500
# Lower rates are dropped.
RATE_MIN_PER_S = 0.02
# Share of the load that is spread evenly over all keys, since any key may get its first request.
EVEN_SHARE = 0.25
# Weight of one sample in the moving average of service times.
SERVICE_TIME_SMOOTHING_FACTOR = 0.04


@dataclasses.dataclass(frozen=True)
class KeyRate:
    """The rate of one key, in requests per second."""

    key: int
    rate: float


@dataclasses.dataclass(frozen=True)
class KeyRates:
    """A snapshot of request rates that can be summed over key ranges, in requests per second.

    `keys` are the keys with requests in order, and `cumulative` holds the sums of their rates,
    starting with 0. Every key has `even_rate` in addition.
    """

    keys: tuple[int, ...]
    cumulative: tuple[float, ...]
    even_rate: float

    @property
    def total(self) -> float:
        """The total rate of all keys."""
        return self.cumulative[-1] + self.even_rate * (LAST_KEY + 1)

    def between(self, first: int, last: int) -> float:
        """Return the total rate of the keys from *first* to *last*."""
        start = bisect.bisect_left(self.keys, first)
        end = bisect.bisect_right(self.keys, last)
        return self.cumulative[end] - self.cumulative[start] + self.even_rate * (last - first + 1)

    def busiest(self, count: int, first: int = 0, last: int = LAST_KEY) -> list[KeyRate]:
        """Return up to *count* known keys from *first* to *last*, in descending order of rate."""
        start = bisect.bisect_left(self.keys, first)
        end = bisect.bisect_right(self.keys, last)
        known = (
            KeyRate(self.keys[index], self.cumulative[index + 1] - self.cumulative[index])
            for index in range(start, end)
        )
        return heapq.nlargest(count, known, key=lambda item: item.rate)

    def split_key(self, first: int, last: int, rate: float) -> int:
        """Return the smallest key up to which the keys from *first* have at least *rate* in total.

        Return *last* if all keys from *first* to *last* have less.
        """
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.between(first, middle) >= rate:
                high = middle
            else:
                low = middle + 1
        return low


class KeyLoad:
    """Exponentially decaying request rates by key."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[int, float] = {}
        self._decayed_at = clock.now()

    def add(self, counts: Mapping[int, int]) -> None:
        """Add the request counts by key of one load report."""
        self._decay()
        for key, count in counts.items():
            self._rates[key] = self._rates.get(key, 0.0) + count * 1_000 / RATE_TIME_CONSTANT_MS

    def rates(self) -> KeyRates:
        """Return a snapshot of the current rates."""
        self._decay()
        keys = tuple(sorted(self._rates))
        known = list(itertools.accumulate((self._rates[key] for key in keys), initial=0.0))
        known_share = 1 - EVEN_SHARE
        even_rate = max(known[-1] * EVEN_SHARE, 1.0) / (LAST_KEY + 1)
        return KeyRates(keys, tuple(item * known_share for item in known), even_rate)

    def _decay(self) -> None:
        elapsed = self._clock.now() - self._decayed_at
        if elapsed < RATE_TIME_CONSTANT_MS // 10:
            return
        self._decayed_at += elapsed
        factor = max(0.0, 1 - elapsed / RATE_TIME_CONSTANT_MS)
        decayed = ((key, rate * factor) for key, rate in self._rates.items())
        self._rates = {key: rate for key, rate in decayed if rate >= RATE_MIN_PER_S}


class ServiceTimes:
    """Moving averages of service times by server, in milliseconds."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, server: str, samples: int, mean: float) -> None:
        """Add *samples* requests of *server* with a *mean* service time."""
        old = self._means.get(server, mean)
        weight = 1 - (1 - SERVICE_TIME_SMOOTHING_FACTOR) ** min(samples, 50)
        self._means[server] = old + weight * (mean - old)

    def median(self, servers: Iterable[str]) -> float:
        """Return the median of *servers* in milliseconds, 0 if none of them has a sample."""
        known = sorted(self._means[name] for name in servers if name in self._means)
        return known[len(known) // 2] if known else 0.0

    def speeds(self, servers: Iterable[str]) -> dict[str, float]:
        """Return the speed of each server relative to the median server of *servers*.

        A server without samples has speed 1.
        """
        names = tuple(servers)
        median = self.median(names)
        if not median:
            return dict.fromkeys(names, 1.0)
        return {name: median / self._means.get(name, median) for name in names}
