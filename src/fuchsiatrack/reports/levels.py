"""Service levels measured by one daemon, summed over sliding time windows."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from fuchsiatrack.kernel.clock import Clock

BUCKET_MS = 10_000
RETENTION_MS = 6 * 3_600_000
WINDOW_LENGTHS_MS = {"5m": 300_000, "30m": 1_800_000, "1h": 3_600_000, "6h": 21_600_000}


@dataclasses.dataclass
class RequestCounts:
    """Request counts of one caller at one service.

    `good` requests got their response within the objective, `refused` ones were proved not to
    have run, and `unsure` ones may have run.
    """

    sent: int = 0
    good: int = 0
    refused: int = 0
    unsure: int = 0

    def add(self, other: RequestCounts) -> None:
        """Add the counts of *other*."""
        self.sent += other.sent
        self.good += other.good
        self.refused += other.refused
        self.unsure += other.unsure


@dataclasses.dataclass
class KeyAvailability:
    """Time for which partitions were observed, and for which they were between two owners.

    Both are sums over the partitions ever assigned, in milliseconds.
    """

    watched: int = 0
    unavailable: int = 0


class _Bucket:
    def __init__(self, start: int) -> None:
        self.start = start
        self.levels: dict[tuple[str, str], RequestCounts] = collections.defaultdict(RequestCounts)
        self.keys: dict[str, KeyAvailability] = collections.defaultdict(KeyAvailability)


class ServiceLevelRecorder:
    """Records requests and the availability of keys in buckets of `BUCKET_MS`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def record_outcome(self, service: str, caller: str, outcome: RequestCounts) -> None:
        """Add *outcome* to the counts of *caller* at *service*."""
        self._current_bucket().levels[(service, caller)].add(outcome)

    def record_availability(
        self, service: str, partitions: int, interrupted: int, elapsed: int
    ) -> None:
        """Record that *interrupted* of the *partitions* were between two owners for *elapsed* ms.

        *partitions* is the number of those ever assigned.
        """
        availability = self._current_bucket().keys[service]
        availability.watched += partitions * elapsed
        availability.unavailable += interrupted * elapsed

    def dump(self) -> dict[str, dict]:
        """Return the sums of each window, by window name, as plain data for JSON."""
        return {name: self._sum_window(length) for name, length in WINDOW_LENGTHS_MS.items()}

    def _sum_window(self, length: int) -> dict[str, list]:
        window_start = self._clock.now() - length
        buckets = [bucket for bucket in self._buckets if bucket.start + BUCKET_MS > window_start]
        levels: dict[tuple[str, str], RequestCounts] = collections.defaultdict(RequestCounts)
        keys: dict[str, KeyAvailability] = collections.defaultdict(KeyAvailability)
        for bucket in buckets:
            _add_levels(levels, bucket.levels.items())
            for service, availability in bucket.keys.items():
                keys[service].watched += availability.watched
                keys[service].unavailable += availability.unavailable
        return {
            "levels": [
                {"service": service, "caller": caller, **dataclasses.asdict(counts)}
                for (service, caller), counts in sorted(levels.items())
            ],
            "keys": [
                {"service": service, **dataclasses.asdict(availability)}
                for service, availability in sorted(keys.items())
            ],
        }

    def _current_bucket(self) -> _Bucket:
        now = self._clock.now()
        start = now - now % BUCKET_MS
        if not self._buckets or self._buckets[-1].start != start:
            self._buckets.append(_Bucket(start))
        while self._buckets[0].start < now - RETENTION_MS:
            self._buckets.popleft()
        return self._buckets[-1]


def _add_levels(
    totals: dict[tuple[str, str], RequestCounts],
    levels: Iterable[tuple[tuple[str, str], RequestCounts]],
) -> None:
    for service_and_caller, counts in levels:
        totals[service_and_caller].add(counts)
