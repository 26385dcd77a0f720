"""How long grants that were sent may still be in force at their servers."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.directory.servers import ServerLife
from fuchsiatrack.kernel.clock import Clock

# A server's clock that measures a grant may run slow by two in a hundred.
SLOW_CLOCK_PERCENT = 2


def longest_hold(hold: int) -> int:
    """Return how long a grant of *hold* milliseconds can last on a slow server's clock."""
    return hold + -(-hold * SLOW_CLOCK_PERCENT // 100)


@dataclasses.dataclass(frozen=True)
class _Hold:
    first: int
    last: int
    until: int


class HoldLedger:
    """Upper bounds on grants by server life and keys; times in milliseconds.

    A grant that got no answer counts like one that was taken, from the latest moment at which it
    may have arrived.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._holds: dict[ServerLife, list[_Hold]] = {}

    def note(
        self, life: ServerLife, first: int, last: int, arrival: int, hold: int
    ) -> tuple[_Hold, ...]:
        """Record a grant of *hold* that arrives at *life* no later than at *arrival*.

        Returns what was known of *life* before, for `restore`.
        """
        now = self._clock.now()
        before = tuple(self._holds.get(life, ()))
        until = arrival + longest_hold(hold)
        kept = [
            item
            for item in self._holds.get(life, ())
            if item.until > now and not (first <= item.first and item.last <= last)
            # Shorter holds of the same keys are covered by this one.
            or item.until > until
        ]
        self._holds[life] = [*kept, _Hold(first, last, until)]
        return before

    def restore(self, life: ServerLife, before: tuple[_Hold, ...]) -> None:
        """Take back the latest `note` on *life*, whose grant was certainly not sent."""
        self._holds[life] = list(before)

    def limit(self, latest: int) -> None:
        """Record that nothing that is known now lasts beyond *latest*."""
        self._holds = {
            life: [dataclasses.replace(item, until=min(item.until, latest)) for item in holds]
            for life, holds in self._holds.items()
        }

    def clear(self, life: ServerLife, first: int, last: int) -> None:
        """Record that *life* has given up the keys from *first* to *last*."""
        kept = []
        for item in self._holds.get(life, ()):
            if item.last < first or last < item.first:
                kept.append(item)
                continue
            if item.first < first:
                kept.append(_Hold(item.first, first - 1, item.until))
            if last < item.last:
                kept.append(_Hold(last + 1, item.last, item.until))
        self._holds[life] = kept

    def until(self, life: ServerLife, first: int, last: int) -> int:
        """Return the moment from which *life* certainly holds no key from *first* to *last*."""
        moments = [
            item.until
            for item in self._holds.get(life, ())
            if item.first <= last and first <= item.last
        ]
        return max(moments, default=self._clock.now())

    def forget(self, life: ServerLife) -> None:
        """Drop all that is known of *life*."""
        self._holds.pop(life, None)
