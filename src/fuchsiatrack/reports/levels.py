"""Service levels as one daemon measures them, in windows of time."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from fuchsiatrack.kernel.clock import Clock

BUCKET = 10_000
KEPT = 6 * 3_600_000
WINDOWS = {"5m": 300_000, "30m": 1_800_000, "1h": 3_600_000, "6h": 21_600_000}


@dataclasses.dataclass
class Level:
    """Counts of one caller at one service; `good` ones were answered within the objective."""

    sent: int = 0
    good: int = 0
    refused: int = 0
    unsure: int = 0

    def add(self, other: Level) -> None:
        """Add the counts of *other*."""
        self.sent += other.sent
        self.good += other.good
        self.refused += other.refused
        self.unsure += other.unsure


@dataclasses.dataclass
class KeyTime:
    """Time for which partitions were watched and had no owner, in partition milliseconds."""

    watched: int = 0
    unavailable: int = 0


class _Bucket:
    def __init__(self, start: int) -> None:
        self.start = start
        self.levels: dict[tuple[str, str], Level] = collections.defaultdict(Level)
        self.keys: dict[str, KeyTime] = collections.defaultdict(KeyTime)


class LevelBook:
    """Counts requests and the availability of keys in buckets of `BUCKET` milliseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def count(self, service: str, caller: str, outcome: Level) -> None:
        """Add *outcome* to the counts of *caller* at *service*."""
        self._current().levels[(service, caller)].add(outcome)

    def record_availability(
        self, service: str, partitions: int, unavailable: int, elapsed: int
    ) -> None:
        """Note that for *elapsed* milliseconds so many of the partitions had no owner."""
        time = self._current().keys[service]
        time.watched += partitions * elapsed
        time.unavailable += unavailable * elapsed

    def dump(self) -> dict[str, dict]:
        """Return the sums for each window as plain data."""
        return {name: self._window(length) for name, length in WINDOWS.items()}

    def _window(self, length: int) -> dict[str, list]:
        horizon = self._clock.now() - length
        chosen = [bucket for bucket in self._buckets if bucket.start + BUCKET > horizon]
        levels: dict[tuple[str, str], Level] = collections.defaultdict(Level)
        keys: dict[str, KeyTime] = collections.defaultdict(KeyTime)
        for bucket in chosen:
            _add_levels(levels, bucket.levels.items())
            for service, time in bucket.keys.items():
                keys[service].watched += time.watched
                keys[service].unavailable += time.unavailable
        return {
            "levels": [
                {"service": service, "caller": caller, **dataclasses.asdict(level)}
                for (service, caller), level in sorted(levels.items())
            ],
            "keys": [
                {"service": service, **dataclasses.asdict(time)}
                for service, time in sorted(keys.items())
            ],
        }

    def _current(self) -> _Bucket:
        now = self._clock.now()
        start = now - now % BUCKET
        if not self._buckets or self._buckets[-1].start != start:
            self._buckets.append(_Bucket(start))
        while self._buckets[0].start < now - KEPT:
            self._buckets.popleft()
        return self._buckets[-1]


def _add_levels(
    into: dict[tuple[str, str], Level], levels: Iterable[tuple[tuple[str, str], Level]]
) -> None:
    for name, level in levels:
        into[name].add(level)
